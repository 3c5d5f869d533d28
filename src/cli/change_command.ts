/** Base class of the commands that publish a configuration change. */
import * as clipanion from 'clipanion';

import * as logState from '../common/control/log_state.js';
import * as invariants from '../common/invariants.js';
import * as operation from '../common/configuration/operation.js';
import * as validateChange from '../common/configuration/validate_change.js';
import * as logClient from '../node/log_client.js';
import * as cliErrors from './cli_errors.js';
import * as exitCodes from './exit_codes.js';
import * as fleetLog from './fleet_log.js';
import * as operatorCommand from './operator_command.js';
import * as publisher from './publisher.js';

/** Publishes one operation and reports its outcome. */
export abstract class ChangeCommand extends operatorCommand.LogCommand {
  readonly reason = clipanion.Option.String('--reason', {
    description: 'Why the change is made; kept with it.',
    required: true,
  });
  readonly author = clipanion.Option.String('--author', {
    description: 'Who makes the change; the user running the command.',
  });
  readonly baseText = clipanion.Option.String('--base-revision', {
    description: 'Revision the change is made on; the newest in the log.',
  });

  /**
   * Returns the operation to publish.
   *
   * @throws cliErrors.CommandError if the arguments are invalid.
   */
  protected abstract operation(state: logState.LogState): operation.Operation;

  protected get authorName(): string {
    return this.author ?? operatorCommand.currentUser();
  }

  protected override async runOn(
    log: logClient.LogService,
    fleet: fleetLog.FleetLog,
  ): Promise<exitCodes.ExitCode> {
    const change = {
      baseRevision: this.baseRevision(fleet.currentState),
      author: this.authorName,
      reason: this.reason,
      operation: this.validatedOperation(fleet.currentState),
    };
    const result = await new publisher.Publisher(log).publish(
      change,
      this.timeoutMs,
    );
    return reportResult(result, (value, lines) => this.print(value, lines));
  }

  private baseRevision(state: logState.LogState): number {
    if (this.baseText === undefined) return state.configuration.revision;
    const base = Number(this.baseText);
    if (Number.isInteger(base) && base >= 0) return base;
    throw cliErrors.invalid('--base-revision: expected a whole number');
  }

  /** Whether the change may take out the last data centre of a service. */
  protected get allowsLastDataCentre(): boolean {
    return false;
  }

  /** Validates the operation before anything is appended to the log. */
  private validatedOperation(state: logState.LogState): operation.Operation {
    const op = this.operation(state);
    const faults = validateChange.validateChange(op, this.reason, {
      document: state.configuration.configuration?.document,
      members: state.roster.all().map(entry => entry.member),
      allowLastDataCentre: this.allowsLastDataCentre,
    });
    if (faults.length > 0) throw cliErrors.invalid(...faults);
    return op;
  }
}

/** Prints the outcome of a change and returns the exit code. */
export function reportResult(
  result: publisher.PublishResult,
  print: (value: unknown, lines: readonly string[]) => void,
): exitCodes.ExitCode {
  const {changeId, settlement, lastFailure} = result;
  const value = {changeId, ...settlement};
  switch (settlement.kind) {
    case 'accepted':
      print(value, [
        `accepted as revision ${settlement.revision} (${changeId})`,
      ]);
      return exitCodes.EXIT_CODES.done;
    case 'rejected':
      print(value, [`rejected: ${rejectionText(settlement.by)} (${changeId})`]);
      return exitCodes.EXIT_CODES.rejected;
    case 'not-sent':
      print(value, [`not accepted: ${lastFailure}`]);
      return exitCodes.EXIT_CODES.unreachable;
    case 'unknown':
      print(value, [
        `outcome unknown: ${lastFailure || 'the change is not in the log'}`,
        `settle it with: geraniumloft config settle ${changeId}`,
      ]);
      return exitCodes.EXIT_CODES.unknown;
    default:
      return invariants.assertNever(settlement);
  }
}

function rejectionText(rejectedBy: string): string {
  return rejectedBy === ''
    ? 'it does not apply'
    : `change ${rejectedBy} came first`;
}
