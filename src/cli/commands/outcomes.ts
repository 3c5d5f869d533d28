/** `geraniumloft outcomes`. */
import * as clipanion from 'clipanion';

import * as exitCodes from '../exit_codes.js';
import * as logCommand from '../log_command.js';
import * as outcomeReport from '../outcome_report.js';

/** Prints how many requests ended in each way, by route. */
export class OutcomesCommand extends logCommand.LogCommand {
  static override paths = [['outcomes']];
  static override usage = clipanion.Command.Usage({
    category: 'Nodes',
    description: 'Count how requests ended, by route and reason.',
    details: `
      Answers in time, late answers and disconnected callers are logged in full only with a
      routineLogShare of 1.
    `,
    examples: [
      ['Count the ends in two logs', '$0 outcomes --logs a.log b.log'],
    ],
  });

  readonly moreLogs = clipanion.Option.Rest();

  protected override run(): Promise<exitCodes.ExitCode> {
    const report = outcomeReport.countOutcomes(this.readLogs());
    this.reportBadLines(report.badLines);
    const lines = report.counts.map(
      ({route, outcome, count}) => `${count} ${route} ${outcome}`,
    );
    this.print(report, lines);
    return Promise.resolve(exitCodes.EXIT_CODES.done);
  }
}
