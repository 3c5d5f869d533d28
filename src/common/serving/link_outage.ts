/** What the outage of a link to a gate means for the requests that were sent over it. */
import * as units from '../units.js';

/** Outage until the outcome of a request counts as unknown, so that it may be retried elsewhere. */
const UNKNOWN_AFTER_REPEATABLE_MS: units.Millis = 200;
const UNKNOWN_AFTER_NON_REPEATABLE_MS: units.Millis = 1_000;

/**
 * Time without an answer of the gate's instance to new connections until its requests are lost to
 * the caller, who may repeat them. A paused process does not count: its instance accepts
 * connections for it. Several lost packets, or a second in the queue of a slow link, fit in.
 */
const UNREACHABLE_AFTER_MS: units.Millis = 2_000;

/** Codes of errors by which an instance is known not to answer; a process causes the others. */
const UNANSWERED_CODES: ReadonlySet<string> = new Set([
  'ETIMEDOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** Outage of a link, as seen from the entry. */
export interface LinkOutage {
  /** Time since the link was lost. */
  readonly durationMs: units.Millis;
  /** How the latest connections to the gate's address failed, undefined if the latest did not. */
  readonly openFailures: OpenFailures | undefined;
}

/** Connections in a row that failed in the same way. */
export interface OpenFailures {
  readonly kind: 'refused' | 'unanswered';
  /** Time between the start of the first and the end of the latest one. */
  readonly durationMs: units.Millis;
}

/** Returns how a connection failed that ended with an error code before it was open. */
export function failureKindOf(code: string): OpenFailures['kind'] {
  return UNANSWERED_CODES.has(code) ? 'unanswered' : 'refused';
}

/** State of a request whose link is down. */
export type OutageVerdict =
  /** The link may be restored before anyone notices. */
  | 'pending'
  /** The gate is silent: a run may be at work, and the gate may still deliver its answer. */
  | 'unknown'
  /** No process of the gate is left: nobody will deliver an answer. */
  | 'process-ended'
  /** The gate's instance is off or cut off: an answer in time is unlikely. */
  | 'unreachable';

/**
 * Returns the state of a request whose link is down. Silence alone ends no request: a gate without
 * processor time is silent as well, while its server runs the request.
 */
export function verdictOf(
  {durationMs, openFailures}: LinkOutage,
  repeatable: boolean,
): OutageVerdict {
  const unknownAfterMs = repeatable
    ? UNKNOWN_AFTER_REPEATABLE_MS
    : UNKNOWN_AFTER_NON_REPEATABLE_MS;
  const failedMs = openFailures?.durationMs ?? 0;
  switch (openFailures?.kind) {
    case 'refused':
      if (failedMs >= unknownAfterMs) return 'process-ended';
      break;
    case 'unanswered':
      // A caller does not repeat a non-repeatable request, so it loses nothing by waiting.
      if (repeatable && failedMs >= UNREACHABLE_AFTER_MS) return 'unreachable';
      break;
    case undefined:
      break;
  }
  return durationMs >= unknownAfterMs ? 'unknown' : 'pending';
}
