/** Searches node logs for the lines of one request and the line that decided its outcome. */

/** A parsed log line of a node. */
export interface TraceLine {
  readonly at: string;
  readonly node: string;
  readonly component: string;
  readonly event: string;
  readonly facts: Readonly<Record<string, unknown>>;
}

/** A line that cannot be parsed; `line` counts from 1. */
export interface BadLine {
  readonly file: string;
  readonly line: number;
}

/** The log lines of one request. */
export interface RequestTrace {
  /** Lines of all nodes, in order of time. */
  readonly lines: readonly TraceLine[];
  /** Line that decided the outcome: the last line if no end was logged, undefined without lines. */
  readonly deciding: TraceLine | undefined;
  readonly badLines: readonly BadLine[];
}

/** Contents of one log file. */
export interface LogText {
  readonly file: string;
  readonly text: string;
}

/** Fields common to all events; all other fields are facts of the event. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'at',
  'node',
  'process',
  'component',
  'event',
  'request',
]);

/** Start of the JSON object in a line; log collectors prepend their own text. */
const OBJECT_START = '{"at":';

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
  logs: readonly LogText[],
): RequestTrace {
  const lines: TraceLine[] = [];
  const badLines: BadLine[] = [];
  for (const {file, text} of logs) {
    text.split('\n').forEach((line, i) => {
      if (line.trim() === '') return;
      const parsed = parseLine(line);
      if (parsed === undefined) badLines.push({file, line: i + 1});
      else if (parsed.request === requestId) lines.push(parsed.line);
    });
  }
  // The sort is stable, so lines of one node with the same time keep their order.
  lines.sort((a, b) => a.at.localeCompare(b.at));
  return {lines, deciding: decidingLine(lines), badLines};
}

/** Formats a line as text, with facts as `key=value`. */
export function formatLine(line: TraceLine): string {
  const {at, node, component, event, facts} = line;
  const formattedFacts = Object.entries(facts).map(
    ([k, v]) => `${k}=${String(v)}`,
  );
  return [at, node, component, event, ...formattedFacts].join(' ');
}

interface ParsedLine {
  readonly request: unknown;
  readonly line: TraceLine;
}

function parseLine(text: string): ParsedLine | undefined {
  const start = text.indexOf(OBJECT_START);
  if (start < 0) return undefined;
  try {
    const value = JSON.parse(text.slice(start)) as Record<string, unknown>;
    const facts = Object.fromEntries(
      Object.entries(value).filter(([key]) => !COMMON_FIELDS.has(key)),
    );
    const {at, node, component, event, request} = value;
    const line = {
      at: String(at),
      node: String(node),
      component: String(component),
      event: String(event),
      facts,
    };
    return {request, line};
  } catch {
    return undefined;
  }
}

/**
 * Returns the line that decided the outcome. If the entry gave up, this is the last failure or
 * refusal before that; otherwise, or if there is none, the event that ended the request.
 */
function decidingLine(lines: readonly TraceLine[]): TraceLine | undefined {
  const endIndex = lines.findLastIndex(
    l => l.component === 'entry' && TERMINAL_EVENTS.has(l.event),
  );
  if (endIndex < 0) return lines.at(-1);
  const end = lines[endIndex];
  if (end.event !== 'gave-up') return end;
  const before = lines.slice(0, endIndex);
  return before.findLast(isDecidingEvent) ?? end;
}

function isDecidingEvent({component, event}: TraceLine): boolean {
  return (
    event === 'server-died' ||
    event === 'bad-answer' ||
    event === 'link-failed' ||
    (component === 'gate' && event === 'refused')
  );
}
