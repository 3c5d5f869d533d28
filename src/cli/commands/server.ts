/** `geraniumloft server out|return|list`. */
import * as clipanion from 'clipanion';

import * as logState from '../../common/control/log_state.js';
import * as generated from '../../generated/configuration.js';
import * as exceptions from '../exceptions.js';
import * as outCommands from '../out_commands.js';

const CATEGORY = 'Backend servers';

/** Takes a backend server out: it gets no new work until it is returned. */
export class ServerOutCommand extends outCommands.OutCommand {
  static override paths = [['server', 'out']];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Give a backend server no new work until it is returned.',
    examples: [
      ['Take one out', '$0 server out orders-1 --reason "disk noise"'],
    ],
  });

  readonly server = clipanion.Option.String({required: true});

  protected override readonly kind = 'server-out';

  protected override get subject(): string {
    return this.server;
  }

  protected override exception(
    details: outCommands.OutDetails,
  ): generated.ServerOut {
    return {...details, kind: this.kind, server: this.server};
  }
}

/** Returns a backend server to service. */
export class ServerReturnCommand extends outCommands.ReturnCommand {
  static override paths = [['server', 'return']];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Give a backend server work again, gradually.',
    examples: [['Return one', '$0 server return orders-1 --reason "replaced"']],
  });

  readonly server = clipanion.Option.String({required: true});

  protected override get subject(): string {
    return `server ${this.server}`;
  }

  protected override isSubjectException(e: generated.Exception): boolean {
    return e.kind === 'server-out' && e.server === this.server;
  }
}

/** Lists the backend servers in the roster with their state. */
export class ServerListCommand extends outCommands.ListCommand<exceptions.ServerRow> {
  static override paths = [['server', 'list']];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'List the backend servers in the roster with their state.',
  });

  protected override rows(
    state: logState.LogState,
  ): readonly exceptions.ServerRow[] {
    return exceptions.serverRows(state);
  }

  protected override rowLabel(row: exceptions.ServerRow): string {
    return `${row.server} ${row.service} ${row.dataCentre}`;
  }

  protected override stateUnlessOut(row: exceptions.ServerRow): string {
    return row.roster;
  }
}
