/** Names and descriptions of the counters. docs/METRICS.md is generated from this table. */
import * as peer from '../generated/peer.js';

/** Prefix of refusal counters, followed by the reason. */
const REFUSAL_PREFIX = 'refusal.';

/** Prefix of retry counters, followed by the reason the previous attempt failed. */
const RETRY_PREFIX = 'retry.';

const REASON_ENUM_PREFIX = 'REFUSAL_REASON_';

/** Returns the short name of a refusal reason, such as `no-room`. */
export function reasonName(reason: peer.RefusalReason): string {
  return reason
    .slice(REASON_ENUM_PREFIX.length)
    .toLowerCase()
    .replaceAll('_', '-');
}

const OUTCOME_ENUM_PREFIX = 'OUTCOME_';

/** Returns the short name of an outcome, such as `not-run`. */
export function outcomeName(outcome: peer.Outcome): string {
  return outcome
    .slice(OUTCOME_ENUM_PREFIX.length)
    .toLowerCase()
    .replaceAll('_', '-');
}

/** Returns the name of the refusal counter for a reason. */
export function refusalCounter(reason: peer.RefusalReason): string {
  return REFUSAL_PREFIX + reasonName(reason);
}

/** Returns the name of the retry counter for the reason the previous attempt failed. */
export function retryCounter(reason: peer.RefusalReason): string {
  return RETRY_PREFIX + reasonName(reason);
}

/** Counters other than refusals and retries, with descriptions for docs/METRICS.md. */
export const COUNTER_DESCRIPTIONS = {
  'callers.paused':
    'Connections that were not read for a while, as many of their requests had no answer.',
  'callers.reset-memory':
    'Connections reset because callers held too much memory together, and these most of it.',
  'callers.reset-untaken':
    'Connections reset because their callers took nothing of an answer for a minute.',
  'configuration.rejected':
    'Configuration changes in the log that were not accepted.',
  'connection.too-many':
    'Idle connections of callers that were closed to make room for new ones.',
  'datagram.failed': 'Datagrams that could not be sent.',
  'datagram.received': 'Datagrams received.',
  'datagram.sent': 'Datagrams sent.',
  'datagram.sent-bytes': 'Bytes sent in datagrams.',
  'entry.answered': 'Requests whose caller received a complete answer.',
  'entry.attempts': 'Attempts sent to gates for the first time.',
  'entry.caller-gone': 'Requests whose caller disconnected before the end.',
  'entry.foreign':
    'Answers, refusals and link events from a node that the attempt was not sent to.',
  'entry.hedges':
    'Hedged attempts, sent while a slow first attempt is still in progress.',
  'entry.received': 'Requests received from callers.',
  'entry.resends': 'Attempts sent again to the same gate over a new link.',
  'entry.unmatched':
    'Answers, refusals and link events of attempts that had ended.',
  'entry.waits': 'Waits between attempts of one request.',
  'gate.cold-detected':
    'Warm backend servers detected to be cold again without a signal.',
  'gate.second-run':
    'Second runs of idempotent requests whose first run was not answered in time.',
  'gate.stale-accepted': 'Times a gate continued with an unconfirmed view.',
  'gossip.unknown-sender':
    'Datagrams from nodes not known from the roster or from gossip.',
  'invariant.breached': 'Invariants that did not hold.',
  'link.answer-dropped': 'Answers dropped because their link had closed.',
  'link.failed-attempt': 'Attempts whose link broke or could not be opened.',
  'link.late-answer': 'Answers to attempts that were no longer pending.',
  'link.opened': 'Links opened to other nodes.',
  'link.pings':
    'Pings sent on links without progress, or with the first attempt after idleness.',
  'link.silent': 'Links abandoned because a ping was not answered.',
  'link.unread': 'Links closed because the other node did not read from them.',
  'log.append-failed':
    'Appends to the log that failed or were not acknowledged.',
  'log.gap': 'Times the log no longer held the records to be read next.',
  'loop.failed-event': 'Events whose handler failed.',
  'loop.ticks': 'Times the timer of the event loop fired.',
  'malformed.announcement': 'Backend server announcements that were rejected.',
  'malformed.datagram':
    'Datagrams that could not be decoded or exceeded a bound.',
  'malformed.frame':
    'Frames on links that could not be decoded or exceeded a bound.',
  'malformed.http':
    'HTTP requests that could not be parsed or exceeded a bound.',
  'malformed.log-record': 'Log records that were skipped.',
  'port.error':
    'Errors of open ports, as for connections that could not be accepted.',
  'roster.full': 'Joins ignored because the roster is full.',
  'server.connection-opened': 'Connections opened to the backend server.',
  'server.lost': 'Times the backend server was found to be gone.',
  'source.rejected':
    'Connections and datagrams from addresses that are not configured.',
} as const satisfies Readonly<Record<string, string>>;

/** Name of a counter other than refusals and retries. */
export type CounterName = keyof typeof COUNTER_DESCRIPTIONS;
