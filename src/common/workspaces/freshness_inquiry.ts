/** Decides when a node asks which peer for a freshness proof. */
import * as units from '../units.js';
import * as freshnessProof from './freshness_proof.js';

/** Interval of questions while the proof is far from its bound. */
const INTERVAL_MS: units.Millis = 1_000;

/** Interval of rounds over all peers while the proof is near its bound. */
const URGENT_INTERVAL_MS: units.Millis = 250;

/** Time for an answer; the next peer is asked after it. */
const ANSWER_TIMEOUT_MS: units.Millis = 200;

/** Share of the bound at which a proof is renewed by a question. */
const RENEW_SHARE = 0.2;

/**
 * Share at which a node that reads the store often asks a peer too: its reads renew a proof at half
 * of the bound at the latest, unless one of them got lost.
 */
const RENEW_SHARE_OF_READERS = 0.6;

/** Share of the bound from which a proof counts as near its bound. */
const URGENT_SHARE = 0.6;

/** Dependencies of `FreshnessInquiry`. */
export interface FreshnessInquiryOptions {
  readonly boundMs: units.Millis;
  /** Whether this node's own reads of the store keep the proof young. */
  readsOften(): boolean;
  /** Linked peers that read the store successfully, in the order of preference. */
  peers(): readonly string[];
  ask(nodeId: string, question: number): void;
}

interface Question {
  readonly id: number;
  readonly nodeId: string;
  readonly sent: units.Instant;
}

/** Asks one peer at a time; after a failure the next one. */
export class FreshnessInquiry {
  private lastId = 0;
  private open: Question | undefined;
  /** Peers asked in the current round. */
  private readonly asked = new Set<string>();
  /** Start of the round. */
  private roundMs: units.MonotonicMs = -Infinity;

  constructor(private readonly options: FreshnessInquiryOptions) {}

  /** Asks a peer if a question is due. */
  tick(state: freshnessProof.ProofState, now: units.Instant): void {
    const {boundMs, readsOften} = this.options;
    const openSinceMs = this.open?.sent.monotonicMs ?? -Infinity;
    if (now.monotonicMs - openSinceMs < ANSWER_TIMEOUT_MS) return;
    const isUnanswered = this.open !== undefined;
    this.open = undefined;
    const ageMs = state.kind === 'valid' ? state.ageMs : Infinity;
    const share = readsOften() ? RENEW_SHARE_OF_READERS : RENEW_SHARE;
    if (ageMs <= share * boundMs) return this.asked.clear();
    const isUrgent = ageMs > URGENT_SHARE * boundMs;
    if (this.asked.size > 0 && (isUnanswered || isUrgent)) {
      if (this.askNext(now)) return;
    }
    const intervalMs = isUrgent ? URGENT_INTERVAL_MS : INTERVAL_MS;
    if (now.monotonicMs - this.roundMs < intervalMs) return;
    this.asked.clear();
    if (this.askNext(now)) this.roundMs = now.monotonicMs;
  }

  /** Returns when the question was sent that an answer belongs to, undefined for a late answer. */
  onAnswer(nodeId: string, id: number): units.Instant | undefined {
    const {open} = this;
    if (open?.id !== id || open.nodeId !== nodeId) return undefined;
    this.open = undefined;
    return open.sent;
  }

  /** Asks the first peer not asked in this round; returns whether there is one. */
  private askNext(now: units.Instant): boolean {
    const {peers, ask} = this.options;
    const nodeId = peers().find(peer => !this.asked.has(peer));
    if (nodeId === undefined) return false;
    this.asked.add(nodeId);
    this.open = {id: ++this.lastId, nodeId, sent: now};
    ask(nodeId, this.open.id);
    return true;
  }
}
