/** Decides whether and when a request is tried again after a failed attempt. */
import * as generated from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as failureKind from './failure_kind.js';
import * as retryBudget from './retry_budget.js';

/** Maximum number of attempts of one request of any class. */
export const MAX_ATTEMPTS = 64;

/** Maximum number of redirections of one request, except for must-arrive classes. */
const MAX_REDIRECTS = 3;

const MIN_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;

/** No attempt is started with less time left before the deadline. */
const MIN_ATTEMPT_MS = 5;

/** Largest share of the time left that a backoff may take. */
const MAX_BACKOFF_SHARE = 0.5;

/** State of a request after a failed attempt. */
export interface RetryState {
  readonly requestClass: generated.RequestClass;
  readonly reason: peer.RefusalReason;
  /** Outcome of the attempt that failed. */
  readonly outcome: peer.Outcome;
  /** Whether it is certain that no attempt of the request has run. */
  readonly allNotRun: boolean;
  readonly attempts: number;
  readonly redirects: number;
  /** Number of attempts that may have run. */
  readonly possibleRuns: number;
  /** Retries left for the whole call chain. */
  readonly retriesLeft: number;
  /** Whether a usable member is left that has not been tried. */
  readonly hasUntriedMember: boolean;
  readonly timeLeftMs: units.Millis;
}

/** Next step after a failed attempt. */
export type RetryDecision =
  /** Another attempt now, if the retry budget grants its cost. */
  | {readonly kind: 'again'; readonly cost: retryBudget.AttemptCost}
  /** Another attempt after a backoff. */
  | {readonly kind: 'wait'}
  | {readonly kind: 'give-up'};

const GIVE_UP: RetryDecision = {kind: 'give-up'};
const WAIT: RetryDecision = {kind: 'wait'};

/** Whether requests of the class are tried until they are answered or their deadline passes. */
export function mustArrive(requestClass: generated.RequestClass): boolean {
  return requestClass.kind === 'must-arrive';
}

/** Returns the next step after a failed attempt. */
export function decide(state: RetryState): RetryDecision {
  const kind = failureKind.failureKind(state.reason);
  const mayRetry = state.allNotRun || state.requestClass.idempotent;
  if (kind === 'final' || !mayRetry || isExhausted(state)) return GIVE_UP;
  const cost = failureKind.costAfter(kind, state.outcome);
  if (cost === 'retry' && !mayRunAgain(state)) return GIVE_UP;
  if (!state.hasUntriedMember) return decideWhenAllTried(state, kind, cost);
  if (cost === 'redirect' && !mayRedirect(state)) return GIVE_UP;
  return {kind: 'again', cost};
}

function isExhausted(state: RetryState): boolean {
  return state.attempts >= MAX_ATTEMPTS || state.timeLeftMs < MIN_ATTEMPT_MS;
}

function mayRunAgain(state: RetryState): boolean {
  return (
    state.possibleRuns < state.requestClass.maxAttempts && state.retriesLeft > 0
  );
}

function mayRedirect(state: RetryState): boolean {
  return mustArrive(state.requestClass) || state.redirects < MAX_REDIRECTS;
}

/**
 * Must-arrive requests wait. Others fail, except that an attempt whose link could not be opened is
 * tried once more.
 */
function decideWhenAllTried(
  state: RetryState,
  kind: failureKind.FailureKind,
  cost: retryBudget.AttemptCost,
): RetryDecision {
  if (mustArrive(state.requestClass)) return WAIT;
  const isSecondTry =
    kind === 'failed' && cost === 'none' && state.attempts === 1;
  return isSecondTry ? {kind: 'again', cost} : GIVE_UP;
}

/**
 * Returns the backoff before another attempt, undefined if too little time is left. It grows
 * exponentially with the number of earlier `waits` and is at least `retryAfterMs`, up to the
 * maximum backoff. `jitter` is in [0, 1) and adds up to half of the backoff.
 */
export function backoffMs(
  waits: number,
  retryAfterMs: units.Millis,
  timeLeftMs: units.Millis,
  jitter: number,
): units.Millis | undefined {
  if (timeLeftMs < MIN_ATTEMPT_MS) return undefined;
  const doubled = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** waits);
  const base = Math.max(doubled, Math.min(retryAfterMs, MAX_BACKOFF_MS));
  const delay = base * (1 + jitter / 2);
  return Math.min(delay, timeLeftMs * MAX_BACKOFF_SHARE);
}
