/** Delays runs until the pace of the backend server is known to be current. */
import * as units from '../units.js';
import * as serverPace from './server_pace.js';

/** Largest age of a sample on which a run starts. */
const FRESH_SAMPLE_MS: units.Millis = 20;

/** Longest wait for a sample; a server that does not answer in time gets the run as it is. */
const SAMPLE_WAIT_MS: units.Millis = 30;

/**
 * Decides whether the next run waits for a new sample of the pace. A run keeps the pace of its
 * start, so on a sample from before a stall it takes several times as long as it needs to; asking
 * the server takes a few milliseconds.
 *
 * Meant for servers that neighbours stall for moments, many times a minute. Servers that report no
 * pace are not asked.
 */
export class PaceConfirmation {
  /** Time of the request for a sample that has not arrived yet. */
  private requestedMs: units.MonotonicMs | undefined;

  constructor(private readonly pace: serverPace.ServerPace) {}

  /** Whether a run that could start now waits for a sample. */
  isAwaited(now: units.MonotonicMs): boolean {
    if (!this.pace.isReported || this.isFresh(now)) return false;
    const {requestedMs} = this;
    return requestedMs === undefined || now < requestedMs + SAMPLE_WAIT_MS;
  }

  /** Records that a sample is wanted; returns whether it has to be requested. */
  request(now: units.MonotonicMs): boolean {
    if (this.requestedMs !== undefined) return false;
    this.requestedMs = now;
    return true;
  }

  /** Records that a sample has arrived. */
  onSample(): void {
    this.requestedMs = undefined;
  }

  /** Returns the time at which `isAwaited` changes if no sample arrives, infinity for never. */
  nextChangeMs(now: units.MonotonicMs): units.MonotonicMs {
    if (!this.pace.isReported) return Infinity;
    if (this.requestedMs !== undefined) {
      const dueMs = this.requestedMs + SAMPLE_WAIT_MS;
      return dueMs > now ? dueMs : Infinity;
    }
    return this.pace.sampledAtMs + FRESH_SAMPLE_MS;
  }

  private isFresh(now: units.MonotonicMs): boolean {
    return this.pace.ageMs(now) <= FRESH_SAMPLE_MS;
  }
}
