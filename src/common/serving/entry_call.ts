/** Callers' requests at an entry. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as configuration from './configuration.js';

/** A caller's request, read whole. */
export interface CallerRequest {
  /** Unique within the process. */
  readonly id: number;
  /** Name that the caller gave the request. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query as received. */
  readonly target: string;
  /** Headers that travel to the backend server, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly timeLeftMs: units.Millis;
  /** Names the request across repetitions by callers. */
  readonly fingerprint: string;
}

/** A request sent to a gate. */
export interface Attempt {
  /** Unique within the process. */
  readonly number: number;
  readonly nodeId: string;
}

/** A request in progress at an entry. */
export class EntryCall {
  /** Time by which the caller has its final answer. */
  readonly endMs: units.MonotonicMs;

  /** Attempts that have not ended. */
  readonly attempts = new Map<number, Attempt>();

  /** Gates that refused in favour of others; they are asked again last. */
  readonly full = new Set<string>();

  /** Gates whose server failed the request; they are asked again last. */
  readonly failed = new Set<string>();

  /** Gates that cannot take the request at all. */
  readonly closed = new Set<string>();

  /** Gates that were sent the request. */
  hops = 0;

  /** Backend servers that may have been sent the request. */
  servers = 0;

  mayHaveRun = false;

  /** Time at which a second run is considered. */
  secondRunAtMs: units.MonotonicMs = Infinity;

  /** A server's failure, passed on if no other server answers better. */
  failure: serving.Answer | undefined;

  /** The newest refusal of a gate. */
  refusal: serving.Refusal | undefined;

  constructor(
    readonly request: CallerRequest,
    readonly route: configuration.Route,
    readonly service: string,
    readonly arrivedMs: units.MonotonicMs,
  ) {
    const timeLeftMs = Math.min(request.timeLeftMs, route.timeoutMs);
    this.endMs = arrivedMs + timeLeftMs;
  }
}

/** Why an entry gives up on a request. */
export const GIVE_UP_REASONS = [
  'unconfigured',
  'no-server',
  'no-room',
  'no-time',
  'quarantined',
  'shed',
  'server-failed',
  'timeout',
  'internal',
] as const;

/** One of the reasons. */
export type GiveUpReason = (typeof GIVE_UP_REASONS)[number];

/** The final word of an entry on a request that got no answer. */
export interface GiveUp {
  readonly reason: GiveUpReason;
  /** Whether a backend server may have run the request. */
  readonly mayHaveRun: boolean;
  /** When to come back, if the request did not run. */
  readonly retryAfterMs: units.Millis;
}

/** What an entry asks of its surroundings. */
export interface EntryOutput {
  dispatch(nodeId: string, dispatch: serving.Dispatch): void;
  withdraw(nodeId: string, attempt: number): void;
  respond(requestId: number, answer: serving.Answer): void;
  giveUp(requestId: number, giveUp: GiveUp): void;
}
