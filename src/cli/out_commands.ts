/** Base classes of the `out`, `return` and `list` commands of data centres and backend servers. */
import * as operation from '../common/configuration/operation.js';
import * as logState from '../common/control/log_state.js';
import * as generated from '../generated/configuration.js';
import * as logClient from '../node/log_client.js';
import * as changeCommand from './change_command.js';
import * as exceptions from './exceptions.js';
import * as exitCodes from './exit_codes.js';
import * as fleetLog from './fleet_log.js';
import * as operatorCommand from './operator_command.js';

/** An exception that takes a data centre or a backend server out. */
export type OutException = generated.DataCentreOut | generated.ServerOut;

/** The fields common to both kinds of exception. */
export type OutDetails = Pick<
  OutException,
  'id' | 'reason' | 'author' | 'timeMs'
>;

/** Takes a data centre or a backend server (the subject) out. */
export abstract class OutCommand extends changeCommand.ChangeCommand {
  protected abstract readonly kind: OutException['kind'];

  /** Name of the data centre or node id of the backend server. */
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

/** Returns a data centre or a backend server to service. */
export abstract class ReturnCommand extends changeCommand.ChangeCommand {
  /** Name of the subject in error messages. */
  protected abstract get subject(): string;

  /** Returns whether the exception takes the subject out. */
  protected abstract isSubjectException(e: generated.Exception): boolean;

  protected override operation(state: logState.LogState): operation.Operation {
    return exceptions.removeExceptionOperation(state, this.subject, e =>
      this.isSubjectException(e),
    );
  }
}

/** Lists data centres or backend servers with their state. */
export abstract class ListCommand<R extends {readonly out?: OutException}>
  extends operatorCommand.LogCommand
{
  protected abstract rows(state: logState.LogState): readonly R[];

  /** Returns the text printed before the state. */
  protected abstract rowLabel(row: R): string;

  /** Returns the state to print for a row that is not out. */
  protected abstract stateUnlessOut(row: R): string;

  protected override async runOn(
    unusedLog: logClient.LogService,
    fleet: fleetLog.FleetLog,
  ): Promise<exitCodes.ExitCode> {
    const rows = this.rows(fleet.currentState);
    const lines = rows.map(row => {
      const {out} = row;
      const state = out
        ? `out: ${out.reason} (${out.author})`
        : this.stateUnlessOut(row);
      return `${this.rowLabel(row)} ${state}`;
    });
    this.print(rows, lines);
    return exitCodes.EXIT_CODES.done;
  }
}
