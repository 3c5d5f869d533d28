/** `geraniumloft trace`. */
import * as clipanion from 'clipanion';

import * as cliErrors from '../cli_errors.js';
import * as exitCodes from '../exit_codes.js';
import * as logCommand from '../log_command.js';
import * as requestTrace from '../request_trace.js';

/** Prints the log lines of a request and the one that decided its outcome. */
export class TraceCommand extends logCommand.LogCommand {
  static override paths = [['trace']];
  static override usage = clipanion.Command.Usage({
    category: 'Nodes',
    description:
      'Print the log lines of a request and the line that decided its outcome.',
    examples: [
      ['Search the logs of two nodes', '$0 trace 9c41d07b --logs a.log b.log'],
      ['Search standard input', '$0 trace 9c41d07b'],
    ],
  });

  readonly requestId = clipanion.Option.String({required: true});
  readonly moreLogs = clipanion.Option.Rest();

  protected override run(): Promise<exitCodes.ExitCode> {
    const trace = requestTrace.traceRequest(this.requestId, this.readLogs());
    this.reportBadLines(trace.badLines);
    if (trace.lines.length === 0) {
      throw cliErrors.invalid(`no line names request ${this.requestId}`);
    }
    this.print(trace, formatTrace(trace));
    return Promise.resolve(exitCodes.EXIT_CODES.done);
  }
}

function formatTrace(trace: requestTrace.RequestTrace): readonly string[] {
  const lines = trace.lines.map(requestTrace.formatLine);
  const {deciding} = trace;
  if (deciding === undefined) return lines;
  return [...lines, '', `decided by: ${requestTrace.formatLine(deciding)}`];
}
