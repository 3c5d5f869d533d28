/** Counts how the requests in node logs ended. */
import * as logLines from './log_lines.js';

/** Number of requests of a route that ended in one way. */
export interface OutcomeCount {
  readonly route: string;
  /** `in-time`, `late`, `server-error`, `caller-gone`, or the reason of a refusal. */
  readonly outcome: string;
  readonly count: number;
}

/** Ends of requests by route, the most frequent first. */
export interface OutcomeReport {
  readonly counts: readonly OutcomeCount[];
  readonly badLines: readonly logLines.BadLine[];
}

const FIRST_ERROR_STATUS = 500;

/** Route of requests that were refused before one was found. */
const NO_ROUTE = '-';

/** Counts the ends of requests in logs; the usual ends are logged for a share of them only. */
export function countOutcomes(
  logs: readonly logLines.LogText[],
): OutcomeReport {
  const {lines, badLines} = logLines.parseLogs(logs);
  const counts = new Map<string, OutcomeCount>();
  for (const line of lines) {
    const outcome = outcomeOf(line);
    if (outcome === undefined) continue;
    const route = String(line.facts['route'] ?? NO_ROUTE);
    const key = `${route} ${outcome}`;
    const count = (counts.get(key)?.count ?? 0) + 1;
    counts.set(key, {route, outcome, count});
  }
  const sorted = [...counts.values()].sort((a, b) => b.count - a.count);
  return {counts: sorted, badLines};
}

/** Returns how a request ended by a line of its entry, undefined for other lines. */
function outcomeOf({
  component,
  event,
  facts,
}: logLines.LogLine): string | undefined {
  if (component !== 'entry') return undefined;
  switch (event) {
    case 'answered':
      if (Number(facts['status']) >= FIRST_ERROR_STATUS) return 'server-error';
      return facts['late'] === true ? 'late' : 'in-time';
    case 'gave-up':
    case 'refused-unread':
      return String(facts['reason']);
    case 'caller-gone':
      return event;
    default:
      return undefined;
  }
}
