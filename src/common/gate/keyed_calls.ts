/** Calls with idempotency keys at their home: at most one of each key runs. */
import * as peer from '../../generated/peer.js';
import * as keyHome from '../idempotency/key_home.js';
import * as keyMemory from '../idempotency/key_memory.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as callEnds from './call_ends.js';
import * as record from './call_record.js';
import * as gateOptions from './gate_options.js';
import * as gateParts from './gate_parts.js';
import * as responder from './responder.js';

/** Most keys handed over in one message. */
const HANDOVER_KEYS = 64;

/** Longest wait at a planned stop for new homes of the keys. */
const HANDOVER_WAIT_MS = 5_000;

/** Interval between looks for new homes. */
const HANDOVER_INTERVAL_MS = 100;

interface KeysByNextHome {
  readonly moved: ReadonlyMap<string, readonly keyMemory.KeyRecord[]>;
  readonly waiting: number;
}

/** Connects calls with the memory of keys. */
export class KeyedCalls {
  private readonly home: keyHome.KeyHome;
  private readonly memory: keyMemory.KeyMemory;
  private readonly handedOver = new Set<string>();
  private handOverUntilMs: units.MonotonicMs | undefined;
  private nextLookMs: units.MonotonicMs = 0;

  constructor(
    private readonly parts: gateParts.GateParts,
    private readonly ends: callEnds.CallEnds,
    private readonly emit: responder.Emit,
  ) {
    const {bounds, nodeId, view} = parts.options;
    this.memory = new keyMemory.KeyMemory(bounds.keys);
    this.home = new keyHome.KeyHome(nodeId, view, this.memory);
    ends.onEnd(({rec, result, now}) => this.onEnd(rec, result, now));
  }

  /** Takes a call with a key; returns whether it is to be run here. */
  admits(rec: record.CallRecord, now: units.Instant): boolean {
    const verdict = this.home.judge(rec.call, now);
    switch (verdict.kind) {
      case 'run':
        return this.begin(rec, now);
      case 'join':
        rec.state = {kind: 'joined', ownerCallId: verdict.ownerCallId};
        return false;
      case 'replay': {
        const {answer} = verdict;
        this.ends.finish(rec, {kind: 'answered', answer}, now);
        return false;
      }
      case 'refuse':
        this.ends.refuseWith(rec, verdict.detail, now);
        return false;
      default:
        return invariants.assertNever(verdict);
    }
  }

  /** Returns why a call that waited must not be dispatched now, undefined if it may. */
  refusalAtDispatch(
    rec: record.CallRecord,
    now: units.Instant,
  ): record.RefusalDetail | undefined {
    if (rec.key === '') return undefined;
    const state = this.memory.get(rec.key)?.state;
    const checks: invariants.Invariants = this.parts.options.invariants;
    checks.check(
      state?.kind === 'running' && state.callId === rec.callId,
      gateOptions.siteOf(this.parts.options, 'dispatch keyed call'),
      `call ${rec.callId} does not account for its key`,
    );
    return this.home.refusal(rec.call, now);
  }

  /** Whether a cancelled call has to go on: its run decides what is known of the key. */
  mustGoOn(rec: record.CallRecord): boolean {
    if (rec.key === '' || rec.state.kind === 'joined') return false;
    return (
      rec.runsSent > 0 ||
      rec.state.kind === 'delegated' ||
      this.joinedTo(rec).length > 0
    );
  }

  /** Takes the memory of a former home. */
  onReceived(handover: peer.KeyHandover, now: units.Instant): void {
    const {options} = this.parts;
    if (handover.service !== options.service) return;
    for (const entry of handover.entries) {
      if (this.memory.import(entry, now.monotonicMs)) continue;
      options.counters.increment('gate.key-import-refused');
    }
  }

  /** Forgets keys whose time is over. */
  purge(now: units.Instant): void {
    this.memory.purge(now.monotonicMs);
  }

  /** Time of the next look for new homes of keys. */
  get nextWakeMs(): units.MonotonicMs | undefined {
    return this.handOverUntilMs === undefined ? undefined : this.nextLookMs;
  }

  /**
   * At a planned stop: hands settled keys to their next homes.
   *
   * @returns whether nothing is left to wait for.
   */
  handOver(now: units.Instant): boolean {
    const ms = now.monotonicMs;
    this.handOverUntilMs ??= ms + HANDOVER_WAIT_MS;
    if (ms >= this.nextLookMs) this.nextLookMs = ms + HANDOVER_INTERVAL_MS;
    const {moved, waiting} = this.keysByNextHome();
    for (const [nodeId, keys] of moved) this.sendKeys(nodeId, keys, ms);
    return waiting === 0 || ms >= this.handOverUntilMs;
  }

  /** Counts the keys that no other home has taken when the node goes. */
  countLost(): void {
    const {counters} = this.parts.options;
    for (const {key} of this.memory.all()) {
      if (!this.handedOver.has(key)) counters.increment('gate.key-lost');
    }
  }

  private begin(rec: record.CallRecord, now: units.Instant): boolean {
    const {fingerprint} = rec.call;
    const ms = now.monotonicMs;
    if (this.memory.begin(rec.key, fingerprint, rec.callId, ms)) return true;
    this.ends.refuse(rec, peer.RefusalReason.KEY_MEMORY_FULL, now);
    return false;
  }

  /** Settles the key of a call that has ended, and the calls that wait for it. */
  private onEnd(
    rec: record.CallRecord,
    result: record.CallResult,
    now: units.Instant,
  ): void {
    const state = this.memory.get(rec.key)?.state;
    if (state?.kind !== 'running' || state.callId !== rec.callId) return;
    if (isNotRun(result)) {
      this.memory.release(rec.key);
    } else {
      this.memory.settle(rec.key, settledState(result));
    }
    for (const joined of this.joinedTo(rec)) {
      this.ends.finish(joined, replayOf(result), now);
    }
  }

  private joinedTo(owner: record.CallRecord): readonly record.CallRecord[] {
    return [...this.parts.calls.liveRecords].filter(
      rec =>
        rec.state.kind === 'joined' && rec.state.ownerCallId === owner.callId,
    );
  }

  /** Settled keys by their next home, and the number of those whose home is still this gate. */
  private keysByNextHome(): KeysByNextHome {
    const {nodeId, service, view} = this.parts.options;
    const moved = new Map<string, keyMemory.KeyRecord[]>();
    let waiting = 0;
    for (const known of this.memory.all()) {
      if (known.state.kind === 'running') continue;
      if (this.handedOver.has(known.key)) continue;
      const home = view.homeOf(service, known.key);
      if (home === nodeId) waiting++;
      if (home === undefined || home === nodeId) continue;
      const keys = moved.get(home) ?? [];
      keys.push(known);
      moved.set(home, keys);
    }
    return {moved, waiting};
  }

  private sendKeys(
    nodeId: string,
    keys: readonly keyMemory.KeyRecord[],
    now: units.MonotonicMs,
  ): void {
    const {service, nodeId: fromNodeId} = this.parts.options;
    for (let i = 0; i < keys.length; i += HANDOVER_KEYS) {
      const chunk = keys.slice(i, i + HANDOVER_KEYS);
      const entries = chunk.map(known => entryOf(known, now));
      const handover = {service, fromNodeId, entries};
      this.emit({kind: 'hand-over', nodeId, handover});
      for (const {key} of chunk) this.handedOver.add(key);
    }
  }
}

function isNotRun(result: record.CallResult): boolean {
  return (
    result.kind === 'refused' && result.detail.outcome === peer.Outcome.NOT_RUN
  );
}

function settledState(result: record.CallResult): keyMemory.KeyState {
  return result.kind === 'answered'
    ? {kind: 'finished', answer: result.answer}
    : {kind: 'unknown'};
}

function replayOf(result: record.CallResult): record.CallResult {
  if (result.kind === 'refused') return result;
  return {kind: 'answered', answer: {...result.answer, replayed: true}};
}

function entryOf(
  known: keyMemory.KeyRecord,
  now: units.MonotonicMs,
): peer.KeyEntry {
  const {key, fingerprint, state, sinceMs} = known;
  const answer =
    state.kind === 'finished'
      ? peer.CallAnswer.create({
          ...state.answer,
          body: Buffer.from(state.answer.body),
        })
      : undefined;
  const ageMs = Math.round(now - sinceMs);
  return {key, fingerprint, answer, unknown: answer === undefined, ageMs};
}
