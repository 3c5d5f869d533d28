/** `geraniumloft trace`. */
import * as fs from 'node:fs';

import * as clipanion from 'clipanion';

import * as cliErrors from '../cli_errors.js';
import * as exitCodes from '../exit_codes.js';
import * as operatorCommand from '../operator_command.js';
import * as requestTrace from '../request_trace.js';

/** File name that stands for standard input, also in messages. */
const STANDARD_INPUT = '-';

const STANDARD_INPUT_FD = 0;

/** Prints the log lines of a request and the one that decided its outcome. */
export class TraceCommand extends operatorCommand.OperatorCommand {
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
  readonly logs = clipanion.Option.Array('--logs', {
    description: 'Log files; more may follow as arguments.',
  });
  readonly moreLogs = clipanion.Option.Rest();

  protected override run(): Promise<exitCodes.ExitCode> {
    const files = [...(this.logs ?? []), ...this.moreLogs];
    const sources = files.length > 0 ? files : [STANDARD_INPUT];
    const trace = requestTrace.traceRequest(
      this.requestId,
      sources.map(file => ({file, text: readLog(file)})),
    );
    this.reportBadLines(trace.badLines);
    if (trace.lines.length === 0) {
      throw cliErrors.invalid(`no line names request ${this.requestId}`);
    }
    this.print(trace, formatTrace(trace));
    return Promise.resolve(exitCodes.EXIT_CODES.done);
  }

  private reportBadLines(badLines: readonly requestTrace.BadLine[]): void {
    for (const {file, line} of badLines) {
      this.context.stderr.write(`${file}:${line}: not a log line\n`);
    }
  }
}

function readLog(file: string): string {
  const source = file === STANDARD_INPUT ? STANDARD_INPUT_FD : file;
  try {
    return fs.readFileSync(source, 'utf8');
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    throw cliErrors.invalid(`${file}: ${detail}`);
  }
}

function formatTrace(trace: requestTrace.RequestTrace): readonly string[] {
  const lines = trace.lines.map(requestTrace.formatLine);
  const {deciding} = trace;
  if (deciding === undefined) return lines;
  return [...lines, '', `decided by: ${requestTrace.formatLine(deciding)}`];
}
