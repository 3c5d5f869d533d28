/** Whether and when a request is tried again after a failed attempt. */
import * as generated from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as failureKind from './failure_kind.js';
import * as retryBudget from './retry_budget.js';

/** Most attempts of one request, whatever its class. */
export const MAX_ATTEMPTS = 64;

/** Most redirections of a request whose class need not arrive. */
const MAX_REDIRECTS = 3;

const BACKOFF_BASE_MS = 20;
const BACKOFF_MAX_MS = 1_000;

/** Shortest time left in which another attempt is worth a wait. */
const MIN_ATTEMPT_MS = 5;

/** Share of the time left that a wait may take. */
const MAX_WAIT_SHARE = 0.5;

/** What the decision rests on. */
export interface RetryState {
  readonly requestClass: generated.RequestClass;
  readonly reason: peer.RefusalReason;
  /** Outcome of the attempt that failed. */
  readonly outcome: peer.Outcome;
  /** Whether no attempt of the request can have run. */
  readonly allNotRun: boolean;
  readonly attempts: number;
  readonly redirects: number;
  /** Attempts that may have run. */
  readonly executions: number;
  /** Retries left to the call chain. */
  readonly retriesLeft: number;
  /** Whether a member that was not tried yet may take the request. */
  readonly freshMember: boolean;
  readonly timeLeftMs: units.Millis;
}

/** What follows a failed attempt. */
export type RetryDecision =
  /** Another attempt now, if the budget holds its price. */
  | {readonly kind: 'again'; readonly price: retryBudget.Price}
  /** Another attempt after a wait. */
  | {readonly kind: 'wait'}
  | {readonly kind: 'give-up'};

const GIVE_UP: RetryDecision = {kind: 'give-up'};
const WAIT: RetryDecision = {kind: 'wait'};

/** Whether requests of the class go on until an answer or their deadline. */
export function mustArrive(requestClass: generated.RequestClass): boolean {
  return requestClass.kind === 'must-arrive';
}

/** Decides what follows a failed attempt of a request. */
export function decide(state: RetryState): RetryDecision {
  const kind = failureKind.failureKind(state.reason);
  const mayRepeat = state.allNotRun || state.requestClass.idempotent;
  if (kind === 'final' || !mayRepeat || isSpent(state)) return GIVE_UP;
  const price = failureKind.priceAfter(kind, state.outcome);
  if (price === 'retry' && !mayRunAgain(state)) return GIVE_UP;
  if (!state.freshMember) return withoutFreshMember(state, kind, price);
  if (price === 'redirect' && !mayRedirect(state)) return GIVE_UP;
  return {kind: 'again', price};
}

function isSpent(state: RetryState): boolean {
  return state.attempts >= MAX_ATTEMPTS || state.timeLeftMs < MIN_ATTEMPT_MS;
}

function mayRunAgain(state: RetryState): boolean {
  return (
    state.executions < state.requestClass.maxAttempts && state.retriesLeft > 0
  );
}

function mayRedirect(state: RetryState): boolean {
  return mustArrive(state.requestClass) || state.redirects < MAX_REDIRECTS;
}

/** A link that could not be opened is worth a second try where there is no other member. */
function withoutFreshMember(
  state: RetryState,
  kind: failureKind.FailureKind,
  price: retryBudget.Price,
): RetryDecision {
  if (mustArrive(state.requestClass)) return WAIT;
  const secondTry =
    kind === 'failed' && price === 'none' && state.attempts === 1;
  return secondTry ? {kind: 'again', price} : GIVE_UP;
}

/**
 * Returns how long to wait before another attempt, undefined if too little time is left.
 * `jitter` is in [0, 1).
 */
export function backoffMs(
  waits: number,
  retryAfterMs: units.Millis,
  timeLeftMs: units.Millis,
  jitter: number,
): units.Millis | undefined {
  if (timeLeftMs < MIN_ATTEMPT_MS) return undefined;
  const doubled = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** waits);
  const base = Math.max(doubled, Math.min(retryAfterMs, BACKOFF_MAX_MS));
  const delay = base * (1 + jitter / 2);
  return Math.min(delay, timeLeftMs * MAX_WAIT_SHARE);
}
