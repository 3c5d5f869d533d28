/** What the commands that take something out, return it and list it share. */
import * as operation from '../common/configuration/operation.js';
import * as logState from '../common/control/log_state.js';
import * as generated from '../generated/configuration.js';
import * as logClient from '../node/log_client.js';
import * as changeCommand from './change_command.js';
import * as exceptions from './exceptions.js';
import * as exitCodes from './exit_codes.js';
import * as fleetLog from './fleet_log.js';
import * as operatorCommand from './operator_command.js';

/** An exception that takes something out. */
export type OutException = generated.DataCentreOut | generated.ServerOut;

/** What every such exception says besides its subject. */
export type OutDetails = Pick<
  OutException,
  'id' | 'reason' | 'author' | 'timeMs'
>;

/** Takes a subject out. */
export abstract class OutCommand extends changeCommand.ChangeCommand {
  protected abstract readonly kind: OutException['kind'];

  /** Name of what is taken out. */
  protected abstract get subject(): string;

  protected abstract exception(details: OutDetails): OutException;

  protected override operation(): operation.Operation {
    const exception = this.exception({
      id: exceptions.exceptionId(this.kind, this.subject),
      reason: this.reason,
      author: this.authorName,
      timeMs: Date.now(),
    });
    return {kind: 'add-exception', exception};
  }
}

/** Returns a subject. */
export abstract class ReturnCommand extends changeCommand.ChangeCommand {
  /** The subject as messages name it. */
  protected abstract get subject(): string;

  /** Whether an exception takes the subject out. */
  protected abstract takesOut(e: generated.Exception): boolean;

  protected override operation(folded: logState.LogState): operation.Operation {
    return exceptions.removal(folded, this.subject, e => this.takesOut(e));
  }
}

/** Lists subjects with their state. */
export abstract class ListCommand<R extends {readonly out?: OutException}>
  extends operatorCommand.LogCommand
{
  protected abstract rows(folded: logState.LogState): readonly R[];

  /** Text of a row before its state. */
  protected abstract text(row: R): string;

  /** State of a row that is not out. */
  protected abstract stateIn(row: R): string;

  protected override async runOn(
    unusedLog: logClient.LogService,
    fleet: fleetLog.FleetLog,
  ): Promise<exitCodes.ExitCode> {
    const rows = this.rows(fleet.folded);
    const lines = rows.map(row => {
      const {out} = row;
      const state = out
        ? `out: ${out.reason} (${out.author})`
        : this.stateIn(row);
      return `${this.text(row)} ${state}`;
    });
    this.print(rows, lines);
    return exitCodes.EXIT_CODES.done;
  }
}
