/** Keeps the roll-outs' records in the status topic as the deciding node wants them. */
import * as decision from '../../common/serving/decision.js';
import * as rollout from '../../common/rollouts/rollout.js';
import * as rolloutOrders from '../../common/rollouts/rollout_orders.js';
import * as rollouts from '../../common/rollouts/rollouts.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as platformAdapter from './platform_adapter.js';
import * as storeLoop from './store_loop.js';

/** Interval at which the wanted states are compared with the written ones; costs no call. */
const POLL_MS: units.Millis = 100;

/** Backoff after a failed call; doubled after each further failure. */
const FIRST_BACKOFF_MS: units.Millis = 100;
const MAX_BACKOFF_MS: units.Millis = 1_000;

/** Refused writes in a row after which the topic is read again without a pause. */
const UNPAUSED_CONFLICTS = 1;

/** Dependencies of `RolloutStatusWriter`. */
export interface RolloutStatusWriterOptions {
  readonly store: platformAdapter.SharedStore;
  readonly codec: platformAdapter.RolloutStatusCodec;
  readonly rollouts: rollouts.Rollouts;
  readonly log: decision.DecisionLog;
  /** Whether this node decides and the store answers it. */
  isWriter(): boolean;
  /** Newest era of the store that is known. */
  era(): number;
  nowMs(): units.MonotonicMs;
  random(): number;
}

/** The status topic as read and as changed by this node since. */
class StoredStatuses {
  readonly byService = new Map<string, platformAdapter.RolloutStatus>();

  constructor(
    readonly era: number,
    public endOffset: number,
  ) {}
}

/**
 * Writes states at the end offset that it has read, so that of two deciding nodes only one writes.
 * After a call without an answer the topic is read again: a late write of that call fails once
 * another record has been written, and shows in the topic otherwise.
 */
export class RolloutStatusWriter implements AsyncDisposable {
  private readonly loop: storeLoop.StoreLoop;
  private stored: StoredStatuses | undefined;
  /** Refused writes in a row. */
  private conflicts = 0;

  constructor(private readonly options: RolloutStatusWriterOptions) {
    this.loop = new storeLoop.StoreLoop({
      firstBackoffMs: FIRST_BACKOFF_MS,
      maxBackoffMs: MAX_BACKOFF_MS,
      step: () => this.step(),
      onSucceeded: () => undefined,
      onFailed: err => this.onFailed(err),
      random: () => options.random(),
    });
  }

  /** Starts comparing; without an order the store is not called. */
  start(): void {
    this.loop.start();
  }

  /** Whether the written states are known, without which nothing may be decided. */
  get hasRead(): boolean {
    return this.stored !== undefined;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.loop[Symbol.asyncDispose]();
  }

  private async step(): Promise<void> {
    const {rollouts: current, isWriter, era} = this.options;
    const isIdle = current.inForce.length === 0 && this.stored === undefined;
    if (isIdle || !isWriter()) {
      this.stored = undefined;
      return this.loop.pause(POLL_MS);
    }
    if (this.stored === undefined || this.stored.era < era()) {
      this.stored = await this.read();
    }
    if (!(await this.reconcileAll(this.stored))) return this.onConflict();
    this.conflicts = 0;
    await this.loop.pause(POLL_MS);
  }

  /** Pauses before the topic is read again, for a time that grows with each conflict in a row. */
  private async onConflict(): Promise<void> {
    this.conflicts++;
    if (this.conflicts <= UNPAUSED_CONFLICTS) return;
    const doublings = this.conflicts - UNPAUSED_CONFLICTS - 1;
    const pauseMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings);
    await this.loop.pause(this.loop.jittered(pauseMs));
  }

  /** @returns false if the topic has to be read again. */
  private async reconcileAll(stored: StoredStatuses): Promise<boolean> {
    for (const known of this.options.rollouts.inForce) {
      if (!(await this.reconcile(known, stored))) return false;
    }
    return this.removeWithdrawn(stored);
  }

  private async read(): Promise<StoredStatuses> {
    const {store, codec} = this.options;
    const {records, era, endOffset} = await store.newest('status');
    const stored = new StoredStatuses(era, endOffset);
    for (const {key, value} of records) {
      const status = value && this.decode(value);
      if (status && codec.keyOf(status.service) === key) {
        stored.byService.set(status.service, status);
      }
    }
    return stored;
  }

  /**
   * Takes a final state over, or writes the wanted one.
   *
   * @returns false if the topic has to be read again.
   */
  private async reconcile(
    known: rollout.Rollout,
    stored: StoredStatuses,
  ): Promise<boolean> {
    const {order} = known;
    const written = stored.byService.get(order.service);
    const current = written && isAbout(written, order) ? written : undefined;
    const final = current && finalPhaseOf(current.state);
    if (final !== undefined) {
      this.options.rollouts.onStatus(order.service, final, 'store');
      return true;
    }
    const state = wantedState(known, this.options.nowMs());
    if (current?.state === state) return true;
    const {service, targetVersion, position} = order;
    const status = {service, state, targetVersion, order: position};
    const value = this.options.codec.encode(status);
    if (!(await this.put(service, value, stored))) return false;
    stored.byService.set(service, status);
    this.note('rollout-status-written', {service, state, targetVersion});
    const phase = finalPhaseOf(state);
    if (phase !== undefined) {
      this.options.rollouts.onStatus(service, phase, 'written');
    }
    return true;
  }

  /** Removes the state of a roll-out whose order was withdrawn before it ended. */
  private async removeWithdrawn(stored: StoredStatuses): Promise<boolean> {
    const {rollouts: current} = this.options;
    const inForce = new Set(current.inForce.map(({order}) => order.service));
    for (const [service, {state}] of stored.byService) {
      if (inForce.has(service) || state !== 'running') continue;
      if (!(await this.put(service, undefined, stored))) return false;
      stored.byService.delete(service);
      this.note('rollout-status-removed', {service});
    }
    if (inForce.size === 0) this.stored = undefined;
    return true;
  }

  private async put(
    service: string,
    value: Buffer | undefined,
    stored: StoredStatuses,
  ): Promise<boolean> {
    const {store, codec} = this.options;
    const key = codec.keyOf(service);
    const {written, era} = await store.putAt(
      'status',
      key,
      value,
      stored.endOffset,
    );
    if (this.loop.signal.aborted) return false;
    stored.endOffset++;
    if (written && era === stored.era) return true;
    // Another node has written, or the store has returned from a copy.
    this.stored = undefined;
    return false;
  }

  private decode(value: Buffer): platformAdapter.RolloutStatus | undefined {
    try {
      return this.options.codec.decode(value);
    } catch (err) {
      const detail = err instanceof Error ? err.message : String(err);
      this.note('rollout-status-unreadable', {detail});
      return undefined;
    }
  }

  private onFailed(err: unknown): void {
    this.stored = undefined;
    if (this.loop.failures > 1) return;
    const detail = err instanceof Error ? err.message : String(err);
    this.note('rollout-status-failed', {detail});
  }

  private note(event: string, facts: decision.Facts): void {
    decision.noteStateChange(this.options.log, 'store', event, facts);
  }
}

/** Whether a record is about an order, and not about an earlier one for the same version. */
function isAbout(
  status: platformAdapter.RolloutStatus,
  {targetVersion, position}: rolloutOrders.OrderInForce,
): boolean {
  if (status.order === undefined) return status.targetVersion === targetVersion;
  const written = {
    targetVersion: status.targetVersion,
    position: status.order,
  };
  return rolloutOrders.isSameOrder(written, {targetVersion, position});
}

function wantedState(
  known: rollout.Rollout,
  now: units.MonotonicMs,
): platformAdapter.RolloutStatus['state'] {
  switch (known.phase) {
    case serving.RolloutPhase.CLOSING:
      return known.isMoved(now) ? 'done' : 'running';
    case serving.RolloutPhase.DONE:
      return 'done';
    case serving.RolloutPhase.ROLLING_BACK:
    case serving.RolloutPhase.ROLLED_BACK:
      return 'rolled_back';
    default:
      return 'running';
  }
}

function finalPhaseOf(
  state: platformAdapter.RolloutStatus['state'],
): serving.RolloutPhase | undefined {
  switch (state) {
    case 'done':
      return serving.RolloutPhase.DONE;
    case 'rolled_back':
      return serving.RolloutPhase.ROLLED_BACK;
    case 'running':
      return undefined;
  }
}
