/** Options and error handling shared by all commands. */
import * as os from 'node:os';

import * as clipanion from 'clipanion';

import * as errors from '../common/errors.js';
import * as logClient from '../node/log_client.js';
import * as operatorClient from '../node/operator_client.js';
import * as addresses from './addresses.js';
import * as cliErrors from './cli_errors.js';
import * as exitCodes from './exit_codes.js';
import * as fleetLog from './fleet_log.js';

const DEFAULT_TIMEOUT_MS = 10_000;
const MAX_TIMEOUT_MS = 600_000;

/** Base class of all commands; reports errors and maps them to exit codes. */
export abstract class OperatorCommand extends clipanion.Command {
  readonly json = clipanion.Option.Boolean('--json', false, {
    description: 'Print one JSON value instead of text.',
  });
  readonly timeoutText = clipanion.Option.String('--timeout-ms', {
    description: `Longest wait, in milliseconds (${DEFAULT_TIMEOUT_MS}).`,
  });

  /** Executes the command. */
  protected abstract run(): Promise<exitCodes.ExitCode>;

  override async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (err) {
      return this.reportError(err);
    }
  }

  /** Longest wait, in milliseconds. */
  protected get timeoutMs(): number {
    if (this.timeoutText === undefined) return DEFAULT_TIMEOUT_MS;
    const value = Number(this.timeoutText);
    if (Number.isInteger(value) && value >= 1 && value <= MAX_TIMEOUT_MS) {
      return value;
    }
    throw cliErrors.invalid(
      `--timeout-ms: expected a whole number from 1 to ${MAX_TIMEOUT_MS}`,
    );
  }

  /** Prints `value` as JSON if --json is given, otherwise `lines`. */
  protected print(value: unknown, lines: readonly string[]): void {
    const text = this.json ? JSON.stringify(value) : lines.join('\n');
    this.context.stdout.write(text + '\n');
  }

  private reportError(err: unknown): exitCodes.ExitCode {
    if (err instanceof cliErrors.CommandError) {
      this.context.stderr.write(err.lines.join('\n') + '\n');
      return err.exitCode;
    }
    if (err instanceof errors.GeraniumloftError) {
      this.context.stderr.write(`${err.message}\n`);
      return exitCodes.EXIT_CODES.unreachable;
    }
    throw err;
  }
}

/** Base class of the commands that read the log. */
export abstract class LogCommand extends OperatorCommand {
  readonly logText = clipanion.Option.String('--log', {
    description: 'Address of the log service, IP:PORT.',
    env: 'GERANIUMLOFT_LOG',
    required: false,
  });

  /** Executes the command after the log has been read to its end. */
  protected abstract runOn(
    log: logClient.LogService,
    fleet: fleetLog.FleetLog,
  ): Promise<exitCodes.ExitCode>;

  protected override async run(): Promise<exitCodes.ExitCode> {
    if (this.logText === undefined) {
      throw cliErrors.invalid(
        '--log: missing; pass it or set GERANIUMLOFT_LOG',
      );
    }
    const address = addresses.parseAddress(this.logText, '--log');
    const {timeoutMs} = this;
    await using log = new logClient.HttpLogClient({...address, timeoutMs});
    const fleet = new fleetLog.FleetLog(log);
    await fleet.read();
    return await this.runOn(log, fleet);
  }
}

/** Base class of the commands that query one node. */
export abstract class NodeCommand extends OperatorCommand {
  readonly nodeText = clipanion.Option.String('--node', {
    description: 'Operator port of a node, IP:PORT.',
    env: 'GERANIUMLOFT_NODE',
    required: false,
  });

  /** Returns a client for the operator port of the node given by --node. */
  protected createClient(): operatorClient.OperatorClient {
    if (this.nodeText === undefined) {
      throw cliErrors.invalid(
        '--node: missing; pass it or set GERANIUMLOFT_NODE',
      );
    }
    const address = addresses.parseAddress(this.nodeText, '--node');
    return new operatorClient.OperatorClient({
      ...address,
      timeoutMs: this.timeoutMs,
    });
  }
}

/** User name of the operator running this process; the default author of changes. */
export function currentUser(): string {
  return os.userInfo().username;
}
