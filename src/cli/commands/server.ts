/** `geraniumloft server out|return|list`. */
import * as clipanion from 'clipanion';

import * as operation from '../../common/configuration/operation.js';
import * as logState from '../../common/control/log_state.js';
import * as logClient from '../../node/log_client.js';
import * as changeCommand from '../change_command.js';
import * as exitCodes from '../exit_codes.js';
import * as exceptions from '../exceptions.js';
import * as fleetLog from '../fleet_log.js';
import * as operatorCommand from '../operator_command.js';

const CATEGORY = 'Backend servers';

/** Takes a backend server out. */
export class ServerOutCommand extends changeCommand.ChangeCommand {
  static override paths = [['server', 'out']];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Give a backend server no new work until it is returned.',
    examples: [
      ['Take one out', '$0 server out orders-1 --reason "disk noise"'],
    ],
  });

  readonly server = clipanion.Option.String({required: true});

  protected override operation(): operation.Operation {
    const exception = {
      id: exceptions.exceptionId('server-out', this.server),
      kind: 'server-out' as const,
      server: this.server,
      reason: this.reason,
      author: this.authorName,
      timeMs: Date.now(),
    };
    return {kind: 'add-exception', exception};
  }
}

/** Returns a backend server. */
export class ServerReturnCommand extends changeCommand.ChangeCommand {
  static override paths = [['server', 'return']];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Give a backend server work again, gradually.',
    examples: [['Return one', '$0 server return orders-1 --reason "replaced"']],
  });

  readonly server = clipanion.Option.String({required: true});

  protected override operation(folded: logState.LogState): operation.Operation {
    return exceptions.removal(
      folded,
      `server ${this.server}`,
      e => e.kind === 'server-out' && e.server === this.server,
    );
  }
}

/** Lists backend servers. */
export class ServerListCommand extends operatorCommand.LogCommand {
  static override paths = [['server', 'list']];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'List backend servers by the roster in the log.',
  });

  protected override async runOn(
    log: logClient.LogService,
    fleet: fleetLog.FleetLog,
  ): Promise<exitCodes.ExitCode> {
    const rows = exceptions.serverRows(fleet.folded);
    const lines = rows.map(row => {
      const state = row.out
        ? `out: ${row.out.reason} (${row.out.author})`
        : row.roster;
      return `${row.server} ${row.service} ${row.dataCentre} ${state}`;
    });
    this.print(rows, lines);
    return exitCodes.EXIT_CODES.done;
  }
}
