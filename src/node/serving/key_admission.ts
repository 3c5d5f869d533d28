/** Keeps the proof that the configuration is the newest, without which no key is admitted. */
import * as decision from '../../common/serving/decision.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as logPosition from '../../common/serving/log_position.js';
import * as units from '../../common/units.js';
import * as freshnessInquiry from '../../common/workspaces/freshness_inquiry.js';
import * as freshnessProof from '../../common/workspaces/freshness_proof.js';
import * as serving from '../../generated/serving.js';
import * as fleetDirectory from './fleet_directory.js';
import * as storeReaders from './store_readers.js';

/** Dependencies of `KeyAdmission`. */
export interface KeyAdmissionOptions {
  /** Time after which a removed key admits no request, infinity without a bound. */
  readonly boundMs: units.Millis;
  readonly intent: operatorIntent.OperatorIntent;
  readonly directory: fleetDirectory.FleetDirectory;
  readonly log: decision.DecisionLog;
  now(): units.Instant;
  /** Whether this node reads the store often and successfully. */
  readsOften(): boolean;
  /** Whether a node is known to read the store successfully. */
  readsStore(nodeId: string): boolean;
  requestFreshness(nodeId: string, question: number): void;
}

/** Renews the freshness proof while the configuration has workspaces and keys must be revoked. */
export class KeyAdmission implements storeReaders.ProofReader {
  private readonly proof: freshnessProof.FreshnessProof;
  private readonly inquiry: freshnessInquiry.FreshnessInquiry;
  private hadProof = false;
  /** Requests refused since the proof was lost. */
  private refused = 0;

  constructor(private readonly options: KeyAdmissionOptions) {
    const {boundMs, intent, readsOften, requestFreshness} = options;
    this.proof = new freshnessProof.FreshnessProof({
      boundMs,
      inForce: () => intent.position,
    });
    this.inquiry = new freshnessInquiry.FreshnessInquiry({
      boundMs,
      readsOften,
      peers: () => this.peers(),
      ask: requestFreshness,
    });
  }

  /** Whether keys need a proof: there is a bound, and the configuration has workspaces. */
  get isActive(): boolean {
    const {boundMs, intent} = this.options;
    return (
      boundMs !== Infinity && (intent.configuration?.hasWorkspaces ?? false)
    );
  }

  boundMs(): units.Millis {
    return this.isActive ? this.options.boundMs : Infinity;
  }

  ageMs(): units.Millis {
    const state = this.proof.state(this.now());
    return state.kind === 'valid' ? state.ageMs : Infinity;
  }

  now(): units.Instant {
    return this.options.now();
  }

  onConfirmed(sent: units.Instant, position: logPosition.LogPosition): void {
    if (this.options.boundMs === Infinity) return;
    this.proof.onConfirmed({sent, ageMs: 0, position}, this.now());
    this.update();
  }

  /** Whether a request with a key that is read now may be judged by the configuration in force. */
  admits(): boolean {
    if (!this.isActive) return true;
    const admitted = this.update().kind === 'valid';
    if (!admitted) this.refused++;
    return admitted;
  }

  /** Answers a peer's question. */
  answer(question: number): serving.FreshnessProof {
    const state = this.proof.state(this.now());
    if (state.kind === 'none') {
      return {question, ageMs: 0, intentEra: 0, intentOffset: 0};
    }
    const {era, offset} = state.position;
    return {
      question,
      ageMs: Math.ceil(state.ageMs),
      intentEra: era,
      intentOffset: offset + 1,
    };
  }

  /** Handles a peer's answer. */
  onAnswer(nodeId: string, answer: serving.FreshnessProof): void {
    const {question, ageMs, intentEra, intentOffset} = answer;
    const sent = this.inquiry.onAnswer(nodeId, question);
    if (sent === undefined || intentOffset === 0) return;
    const position = {era: intentEra, offset: intentOffset - 1};
    this.proof.onConfirmed({sent, ageMs, position}, this.now());
    this.update();
  }

  /** Observes the clocks and asks peers if the proof needs to be renewed. */
  tick(): void {
    if (this.options.boundMs === Infinity) return;
    const state = this.update();
    if (this.isActive) this.inquiry.tick(state, this.now());
  }

  /** Logs whether the proof was lost or regained. */
  private update(): freshnessProof.ProofState {
    const state = this.proof.state(this.now());
    if (!this.isActive) return state;
    const hasProof = state.kind === 'valid';
    if (hasProof === this.hadProof) return state;
    this.hadProof = hasProof;
    if (state.kind === 'valid') {
      const {refused} = this;
      this.refused = 0;
      const ageMs = Math.round(state.ageMs);
      this.note('proof-regained', {ageMs, refused, ...state.position});
    } else {
      this.note('proof-lost', {reason: state.loss});
    }
    return state;
  }

  /** Peers that read the store: those of this data centre first, then by id. */
  private peers(): readonly string[] {
    const {directory, readsStore} = this.options;
    const {dataCentre} = directory.self;
    const distance = (other: serving.NodeRecord): number =>
      other.dataCentre === dataCentre ? 0 : 1;
    return directory.others
      .filter(({nodeId}) => readsStore(nodeId))
      .sort(
        (a, b) => distance(a) - distance(b) || (a.nodeId < b.nodeId ? -1 : 1),
      )
      .map(({nodeId}) => nodeId);
  }

  private note(event: string, facts: decision.Facts): void {
    decision.noteStateChange(this.options.log, 'fleet', event, facts);
  }
}
