/** Parsing of node logs. */

/** A parsed log line of a node. */
export interface LogLine {
  readonly at: string;
  readonly node: string;
  readonly component: string;
  readonly event: string;
  /** Id of the request that the line is about, undefined for changes of state. */
  readonly request: string | undefined;
  readonly facts: Readonly<Record<string, unknown>>;
}

/** A line that cannot be parsed; `line` counts from 1. */
export interface BadLine {
  readonly file: string;
  readonly line: number;
}

/** Contents of one log file. */
export interface LogText {
  readonly file: string;
  readonly text: string;
}

/** The lines of several logs. */
export interface ParsedLogs {
  readonly lines: readonly LogLine[];
  readonly badLines: readonly BadLine[];
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

/** Parses all lines of logs; empty lines are skipped. */
export function parseLogs(logs: readonly LogText[]): ParsedLogs {
  const lines: LogLine[] = [];
  const badLines: BadLine[] = [];
  for (const {file, text} of logs) {
    text.split('\n').forEach((line, i) => {
      if (line.trim() === '') return;
      const parsed = parseLine(line);
      if (parsed === undefined) badLines.push({file, line: i + 1});
      else lines.push(parsed);
    });
  }
  return {lines, badLines};
}

function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf(OBJECT_START);
  if (start < 0) return undefined;
  try {
    const value = JSON.parse(text.slice(start)) as Record<string, unknown>;
    const facts = Object.fromEntries(
      Object.entries(value).filter(([key]) => !COMMON_FIELDS.has(key)),
    );
    const {at, node, component, event, request} = value;
    return {
      at: String(at),
      node: String(node),
      component: String(component),
      event: String(event),
      request: request === undefined ? undefined : String(request),
      facts,
    };
  } catch {
    return undefined;
  }
}
