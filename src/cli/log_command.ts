/** Options and input of the commands that read node logs. */
import * as fs from 'node:fs';

import * as clipanion from 'clipanion';

import * as cliErrors from './cli_errors.js';
import * as logLines from './log_lines.js';
import * as operatorCommand from './operator_command.js';

/** File name that stands for standard input, also in messages. */
const STANDARD_INPUT = '-';

const STANDARD_INPUT_FD = 0;

/** Base class of commands that read node logs, from standard input if no file is named. */
export abstract class LogCommand extends operatorCommand.OperatorCommand {
  readonly logs = clipanion.Option.Array('--logs', {
    description: 'Log files; more may follow as arguments.',
  });
  /** Declared by each command, as positional arguments are read in the order of declaration. */
  abstract readonly moreLogs: readonly string[];

  /** @throws cliErrors.CommandError if a file cannot be read. */
  protected readLogs(): readonly logLines.LogText[] {
    const files = [...(this.logs ?? []), ...this.moreLogs];
    const sources = files.length > 0 ? files : [STANDARD_INPUT];
    return sources.map(file => ({file, text: readLog(file)}));
  }

  protected reportBadLines(badLines: readonly logLines.BadLine[]): void {
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
