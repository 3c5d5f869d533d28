/** `geraniumloft data-centre out|return|list`. */
import * as clipanion from 'clipanion';

import * as operation from '../../common/configuration/operation.js';
import * as logState from '../../common/control/log_state.js';
import * as logClient from '../../node/log_client.js';
import * as changeCommand from '../change_command.js';
import * as exitCodes from '../exit_codes.js';
import * as exceptions from '../exceptions.js';
import * as fleetLog from '../fleet_log.js';
import * as operatorCommand from '../operator_command.js';

const CATEGORY = 'Data centres';

/** Takes a data centre out. */
export class DataCentreOutCommand extends changeCommand.ChangeCommand {
  static override paths = [['data-centre', 'out']];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Give a data centre no new work until it is returned.',
    examples: [
      ['Take one out', '$0 data-centre out couva --reason "power work"'],
    ],
  });

  readonly dataCentre = clipanion.Option.String({required: true});
  readonly allowLast = clipanion.Option.Boolean('--allow-last', false, {
    description: 'Also where a service is left without any data centre.',
  });

  protected override get allowsLastDataCentre(): boolean {
    return this.allowLast;
  }

  protected override operation(): operation.Operation {
    const exception = {
      id: exceptions.exceptionId('data-centre-out', this.dataCentre),
      kind: 'data-centre-out' as const,
      dataCentre: this.dataCentre,
      reason: this.reason,
      author: this.authorName,
      timeMs: Date.now(),
    };
    return {kind: 'add-exception', exception};
  }
}

/** Returns a data centre. */
export class DataCentreReturnCommand extends changeCommand.ChangeCommand {
  static override paths = [['data-centre', 'return']];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Give a data centre work again, gradually.',
    examples: [
      ['Return one', '$0 data-centre return couva --reason "power is back"'],
    ],
  });

  readonly dataCentre = clipanion.Option.String({required: true});

  protected override operation(folded: logState.LogState): operation.Operation {
    return exceptions.removal(
      folded,
      `data centre ${this.dataCentre}`,
      e => e.kind === 'data-centre-out' && e.dataCentre === this.dataCentre,
    );
  }
}

/** Lists data centres. */
export class DataCentreListCommand extends operatorCommand.LogCommand {
  static override paths = [['data-centre', 'list']];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'List data centres with their servers and state.',
  });

  protected override async runOn(
    log: logClient.LogService,
    fleet: fleetLog.FleetLog,
  ): Promise<exitCodes.ExitCode> {
    const rows = exceptions.dataCentreRows(fleet.folded);
    const lines = rows.map(row => {
      const state = row.out
        ? `out: ${row.out.reason} (${row.out.author})`
        : 'in';
      return `${row.dataCentre} ${row.servers} servers ${state}`;
    });
    this.print(rows, lines);
    return exitCodes.EXIT_CODES.done;
  }
}
