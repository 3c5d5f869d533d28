/** Searches node logs for the lines of one request and the line that decided its outcome. */
import * as logLines from './log_lines.js';

/** The log lines of one request. */
export interface RequestTrace {
  /** Lines of all nodes, in order of time. */
  readonly lines: readonly logLines.LogLine[];
  /** Line that decided the outcome: the last line if no end was logged, undefined without lines. */
  readonly deciding: logLines.LogLine | undefined;
  readonly badLines: readonly logLines.BadLine[];
}

/** Events logged by an entry when a request ends. */
const TERMINAL_EVENTS: ReadonlySet<string> = new Set([
  'gave-up',
  'answered',
  'refused-unread',
  'caller-gone',
]);

/** Returns the lines of a request in all logs, and the lines that could not be parsed. */
export function traceRequest(
  requestId: string,
  logs: readonly logLines.LogText[],
): RequestTrace {
  const {lines: all, badLines} = logLines.parseLogs(logs);
  const lines = all.filter(line => line.request === requestId);
  // The sort is stable, so lines of one node with the same time keep their order.
  lines.sort((a, b) => a.at.localeCompare(b.at));
  return {lines, deciding: decidingLine(lines), badLines};
}

/** Formats a line as text, with facts as `key=value`. */
export function formatLine(line: logLines.LogLine): string {
  const {at, node, component, event, facts} = line;
  const formattedFacts = Object.entries(facts).map(
    ([k, v]) => `${k}=${String(v)}`,
  );
  return [at, node, component, event, ...formattedFacts].join(' ');
}

/**
 * Returns the line that decided the outcome. If the entry gave up, this is the last failure or
 * refusal before that; otherwise, or if there is none, the event that ended the request.
 */
function decidingLine(
  lines: readonly logLines.LogLine[],
): logLines.LogLine | undefined {
  const endIndex = lines.findLastIndex(
    l => l.component === 'entry' && TERMINAL_EVENTS.has(l.event),
  );
  if (endIndex < 0) return lines.at(-1);
  const end = lines[endIndex];
  if (end.event !== 'gave-up') return end;
  const before = lines.slice(0, endIndex);
  return before.findLast(isDecidingEvent) ?? end;
}

function isDecidingEvent({component, event}: logLines.LogLine): boolean {
  return (
    event === 'server-died' ||
    event === 'bad-answer' ||
    event === 'link-failed' ||
    (component === 'gate' && event === 'refused')
  );
}
