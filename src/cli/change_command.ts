/** Base of the commands that publish a change. */
import * as clipanion from 'clipanion';

import * as logState from '../common/control/log_state.js';
import * as invariants from '../common/invariants.js';
import * as operation from '../common/configuration/operation.js';
import * as logClient from '../node/log_client.js';
import * as cliErrors from './cli_errors.js';
import * as exitCodes from './exit_codes.js';
import * as fleetLog from './fleet_log.js';
import * as operatorCommand from './operator_command.js';
import * as publisher from './publisher.js';

/** Publishes one operation and reports what became of it. */
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

  /** Returns the operation to publish, or throws CommandError. */
  protected abstract operation(folded: logState.LogState): operation.Operation;

  protected get authorName(): string {
    return this.author ?? operatorCommand.currentUser();
  }

  protected override async runOn(
    log: logClient.LogService,
    fleet: fleetLog.FleetLog,
  ): Promise<exitCodes.ExitCode> {
    if (this.reason.trim() === '') {
      throw cliErrors.invalid('--reason: expected text');
    }
    const change = {
      baseRevision: this.baseRevision(fleet.folded),
      author: this.authorName,
      reason: this.reason,
      operation: this.checkedOperation(fleet.folded),
    };
    const publishing = new publisher.Publisher(log, fleet);
    const result = await publishing.publish(change, this.timeoutMs);
    return reportResult(result, (value, lines) => this.print(value, lines));
  }

  private baseRevision(folded: logState.LogState): number {
    if (this.baseText === undefined) return folded.configuration.revision;
    const base = Number(this.baseText);
    if (Number.isInteger(base) && base >= 0) return base;
    throw cliErrors.invalid('--base-revision: expected a whole number');
  }

  /** Checks that the operation applies before anything is appended. */
  private checkedOperation(folded: logState.LogState): operation.Operation {
    const op = this.operation(folded);
    const document = folded.configuration.configuration?.document;
    const parsed = operation.parseOperation(JSON.stringify(op));
    const applied =
      parsed.kind === 'ok'
        ? operation.applyOperation(document, parsed.value)
        : parsed;
    if (applied.kind === 'ok') return op;
    throw cliErrors.invalid(...applied.faults);
  }
}

/** Prints the outcome of a change and returns the exit code. */
export function reportResult(
  result: publisher.PublishResult,
  print: (value: unknown, lines: readonly string[]) => void,
): exitCodes.ExitCode {
  const {changeId} = result;
  switch (result.kind) {
    case 'accepted':
      print(result, [`accepted as revision ${result.revision} (${changeId})`]);
      return exitCodes.EXIT_CODES.done;
    case 'rejected':
      print(result, [
        `rejected: change ${result.rejectedBy || 'unknown'} came first (${changeId})`,
      ]);
      return exitCodes.EXIT_CODES.rejected;
    case 'unknown':
      print(result, [
        `outcome unknown: ${result.cause}`,
        `settle it with: geraniumloft config settle ${changeId}`,
      ]);
      return exitCodes.EXIT_CODES.unknown;
    default:
      return invariants.assertNever(result);
  }
}
