/** Finds in the logs of nodes what happened to one request, and what decided its outcome. */

/** A line of a node's log. */
export interface TraceLine {
  readonly at: string;
  readonly node: string;
  readonly component: string;
  readonly event: string;
  readonly facts: Readonly<Record<string, unknown>>;
}

/** A line that cannot be read. */
export interface BadLine {
  readonly file: string;
  readonly line: number;
}

/** What logs say of a request. */
export interface RequestTrace {
  /** Lines of all nodes, in the order of their times. */
  readonly lines: readonly TraceLine[];
  /** Line that decided the outcome, if it was logged. */
  readonly deciding: TraceLine | undefined;
  readonly badLines: readonly BadLine[];
}

/** A log to search. */
export interface LogText {
  readonly file: string;
  readonly text: string;
}

/** Fields of every line; all others are facts of the decision. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'at',
  'node',
  'process',
  'component',
  'event',
  'request',
]);

/** Start of the object in a line; log collectors put their own words before it. */
const OBJECT_START = '{"at":';

/** Events of an entry that end a request. */
const ENDS: ReadonlySet<string> = new Set([
  'gave-up',
  'answered',
  'refused-unread',
  'caller-gone',
]);

/** Traces a request through logs. */
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
  // A stable sort: lines of one node keep their order.
  lines.sort((a, b) => a.at.localeCompare(b.at));
  return {lines, deciding: decidingLine(lines), badLines};
}

/** Describes a line in words. */
export function formatLine(line: TraceLine): string {
  const {at, node, component, event, facts} = line;
  const told = Object.entries(facts).map(([k, v]) => `${k}=${String(v)}`);
  return [at, node, component, event, ...told].join(' ');
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
 * The end that the entry gave is decided by the newest line before it that tells of a failure or a
 * refusal; without one, by the end itself.
 */
function decidingLine(lines: readonly TraceLine[]): TraceLine | undefined {
  const endAt = lines.findLastIndex(
    l => l.component === 'entry' && ENDS.has(l.event),
  );
  if (endAt < 0) return lines.at(-1);
  const end = lines[endAt];
  if (end.event !== 'gave-up') return end;
  const before = lines.slice(0, endAt);
  return before.findLast(isCause) ?? end;
}

function isCause({component, event}: TraceLine): boolean {
  return (
    event === 'server-died' ||
    event === 'bad-answer' ||
    event === 'link-failed' ||
    (component === 'gate' && event === 'refused')
  );
}
