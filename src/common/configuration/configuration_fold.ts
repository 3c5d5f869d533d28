/** Folds the log's changes and snapshots into the configuration; deterministic on every node. */
import * as generated from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as configurationInForce from './configuration_in_force.js';
import * as operation from './operation.js';

/** Maximum number of change outcomes kept. */
export const MAX_OUTCOMES = 1_000;

/** Maximum number of changes kept while the configuration they are based on is unknown. */
const MAX_PENDING_CHANGES = 4_096;

interface PendingChange {
  readonly offset: number;
  readonly change: peer.ConfigurationChange;
}

const SITE = {step: 'fold configuration', peer: 'log'};

/**
 * The configuration as of a log offset.
 *
 * The base configuration is unknown if the log no longer holds its first records. Changes are then
 * kept until a snapshot is found such that no record after its offset is missing.
 */
export class ConfigurationFold {
  private current: configurationInForce.ConfigurationInForce | undefined;
  private currentRevision = 0;
  private hasBase = true;
  /** First offset from which every record has been folded. */
  private gaplessFrom = 0;
  private pending: PendingChange[] = [];
  private readonly outcomes = new Map<string, peer.ChangeOutcome>();

  constructor(
    private readonly invariants: invariants.Invariants,
    private readonly counters: counters.Counters,
  ) {}

  /** Configuration in force. It stays in force while the base is unknown. */
  get configuration(): configurationInForce.ConfigurationInForce | undefined {
    return this.current;
  }

  /** Number of accepted changes. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Whether every change up to the folded offset is included. */
  get complete(): boolean {
    return this.hasBase;
  }

  /** Returns the first outcome of a change, undefined if unknown or no longer kept. */
  outcomeOf(changeId: string): peer.ChangeOutcome | undefined {
    return this.outcomes.get(changeId);
  }

  /** Records that the log records below `firstOffset` are missing. */
  skipTo(firstOffset: number): void {
    this.hasBase = false;
    this.gaplessFrom = firstOffset;
    this.pending = [];
  }

  /** Folds a change, or keeps it until the base is known. */
  foldChange(change: peer.ConfigurationChange, offset: number): void {
    if (this.hasBase) {
      this.applyChange(change);
      return;
    }
    this.pending.push({offset, change});
    if (this.pending.length <= MAX_PENDING_CHANGES) return;
    const dropped = this.pending.shift();
    this.gaplessFrom = (dropped?.offset ?? offset) + 1;
  }

  /** Folds a snapshot; ignored if a record after its offset is missing. */
  foldSnapshot(snapshot: peer.ConfigurationSnapshot): void {
    if (this.hasBase || snapshot.throughOffset + 1 < this.gaplessFrom) return;
    const later = this.pending.filter(p => p.offset > snapshot.throughOffset);
    if (!this.install(snapshot)) return;
    for (const {change} of later) this.applyChange(change);
  }

  /** Replaces this state by the complete state of another node; returns false if malformed. */
  adopt(snapshot: peer.ConfigurationSnapshot): boolean {
    return this.install(snapshot);
  }

  /** Returns the state as a snapshot for the log or a peer. */
  snapshot(throughOffset: number): peer.ConfigurationSnapshot {
    return {
      revision: this.currentRevision,
      throughOffset,
      configurationJson: this.current
        ? JSON.stringify(this.current.document)
        : '',
      outcomes: [...this.outcomes.values()],
    };
  }

  private install(snapshot: peer.ConfigurationSnapshot): boolean {
    const document = this.parseDocument(snapshot);
    if (document === 'malformed') {
      this.counters.increment('malformed.log-record');
      return false;
    }
    this.invariants.check(
      snapshot.revision >= this.currentRevision,
      SITE,
      `revision ${snapshot.revision} would replace ${this.currentRevision}`,
    );
    this.hasBase = true;
    this.pending = [];
    this.outcomes.clear();
    for (const outcome of snapshot.outcomes) this.addOutcome(outcome);
    if (document !== undefined) this.setCurrent(snapshot.revision, document);
    return true;
  }

  private parseDocument(
    snapshot: peer.ConfigurationSnapshot,
  ): generated.Configuration | undefined | 'malformed' {
    if (snapshot.revision === 0) return undefined;
    const parsed = operation.parseConfiguration(snapshot.configurationJson);
    return parsed.kind === 'ok' ? parsed.value : 'malformed';
  }

  /** Accepts a change if its base is the current revision and its operation is applicable. */
  private applyChange(change: peer.ConfigurationChange): void {
    if (this.outcomes.has(change.changeId)) return;
    if (change.baseRevision !== this.currentRevision) {
      this.reject(change, this.findAcceptedRival(change));
      return;
    }
    const parsed = operation.parseOperation(change.operationJson);
    const applied =
      parsed.kind === 'ok'
        ? operation.applyOperation(this.current?.document, parsed.value)
        : parsed;
    if (applied.kind === 'invalid') {
      this.counters.increment('malformed.log-record');
      this.reject(change, '');
      return;
    }
    const revision = this.currentRevision + 1;
    this.setCurrent(revision, applied.value);
    this.addOutcome({
      changeId: change.changeId,
      accepted: true,
      revision,
      rejectedBy: '',
    });
  }

  private reject(change: peer.ConfigurationChange, rejectedBy: string): void {
    this.counters.increment('configuration.rejected');
    this.addOutcome({
      changeId: change.changeId,
      accepted: false,
      revision: this.currentRevision,
      rejectedBy,
    });
  }

  /** Returns the id of the change accepted on the same base revision, empty if unknown. */
  private findAcceptedRival(change: peer.ConfigurationChange): string {
    for (const outcome of this.outcomes.values()) {
      if (!outcome.accepted) continue;
      if (outcome.revision === change.baseRevision + 1) return outcome.changeId;
    }
    return '';
  }

  private addOutcome(outcome: peer.ChangeOutcome): void {
    this.outcomes.set(outcome.changeId, outcome);
    if (this.outcomes.size <= MAX_OUTCOMES) return;
    const [oldest] = this.outcomes.keys();
    this.outcomes.delete(oldest);
  }

  private setCurrent(
    revision: number,
    document: generated.Configuration,
  ): void {
    this.invariants.check(
      revision >= this.currentRevision,
      SITE,
      `revision ${revision} would replace ${this.currentRevision}`,
    );
    this.currentRevision = revision;
    if (this.current?.revision === revision) {
      this.invariants.check(
        JSON.stringify(this.current.document) === JSON.stringify(document),
        SITE,
        `revision ${revision} has two documents`,
      );
      return;
    }
    this.current = new configurationInForce.ConfigurationInForce(
      revision,
      document,
    );
  }
}
