/** `geraniumloft data-centre out|return|list`. */
import * as clipanion from 'clipanion';

import * as logState from '../../common/control/log_state.js';
import * as generated from '../../generated/configuration.js';
import * as exceptions from '../exceptions.js';
import * as outCommands from '../out_commands.js';

const CATEGORY = 'Data centres';

/** Takes a data centre out: it gets no new work until it is returned. */
export class DataCentreOutCommand extends outCommands.OutCommand {
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
    description:
      'Take it out even if a service is left without any data centre.',
  });

  protected override get allowsLastDataCentre(): boolean {
    return this.allowLast;
  }

  protected override readonly kind = 'data-centre-out';

  protected override get subject(): string {
    return this.dataCentre;
  }

  protected override exception(
    details: outCommands.OutDetails,
  ): generated.DataCentreOut {
    return {...details, kind: this.kind, dataCentre: this.dataCentre};
  }
}

/** Returns a data centre to service. */
export class DataCentreReturnCommand extends outCommands.ReturnCommand {
  static override paths = [['data-centre', 'return']];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'Give a data centre work again, gradually.',
    examples: [
      ['Return one', '$0 data-centre return couva --reason "power is back"'],
    ],
  });

  readonly dataCentre = clipanion.Option.String({required: true});

  protected override get subject(): string {
    return `data centre ${this.dataCentre}`;
  }

  protected override isSubjectException(e: generated.Exception): boolean {
    return e.kind === 'data-centre-out' && e.dataCentre === this.dataCentre;
  }
}

/** Lists data centres with their number of servers and state. */
export class DataCentreListCommand extends outCommands.ListCommand<exceptions.DataCentreRow> {
  static override paths = [['data-centre', 'list']];
  static override usage = clipanion.Command.Usage({
    category: CATEGORY,
    description: 'List data centres with their servers and state.',
  });

  protected override rows(
    state: logState.LogState,
  ): readonly exceptions.DataCentreRow[] {
    return exceptions.dataCentreRows(state);
  }

  protected override rowLabel(row: exceptions.DataCentreRow): string {
    return `${row.dataCentre} ${row.servers} servers`;
  }

  protected override stateUnlessOut(): string {
    return 'in';
  }
}
