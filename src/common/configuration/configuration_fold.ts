/** Fold of the log's changes and snapshots into the configuration, alike on every node. */
import * as generated from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as inForce from './configuration_in_force.js';
import * as operation from './operation.js';

/** Most outcomes of changes kept. */
export const MAX_OUTCOMES = 1_000;

/** Most changes kept while the configuration they are based on is unknown. */
const MAX_PENDING_CHANGES = 4_096;

interface PendingChange {
  readonly offset: number;
  readonly change: peer.ConfigurationChange;
}

const SITE = {step: 'fold configuration', peer: 'log'};

/**
 * Configuration by the log up to an offset.
 *
 * The fold starts without a known base when the log no longer holds its beginning. Changes are
 * then kept until a snapshot is found after whose offset no record is missing.
 */
export class ConfigurationFold {
  private current: inForce.ConfigurationInForce | undefined;
  private revisionFolded = 0;
  private known = true;
  /** First offset from which every record has been folded. */
  private contiguousFrom = 0;
  private pending: PendingChange[] = [];
  private readonly outcomes = new Map<string, peer.ChangeOutcome>();

  constructor(
    private readonly check: invariants.Invariants,
    private readonly count: counters.Counters,
  ) {}

  /** Configuration in force; stays in force while the base is unknown. */
  get configuration(): inForce.ConfigurationInForce | undefined {
    return this.current;
  }

  /** Number of accepted changes. */
  get revision(): number {
    return this.revisionFolded;
  }

  /** Whether every change up to the folded offset is accounted for. */
  get complete(): boolean {
    return this.known;
  }

  /** Returns the first outcome of a change, if it is recent. */
  outcomeOf(changeId: string): peer.ChangeOutcome | undefined {
    return this.outcomes.get(changeId);
  }

  /** Notes that records below `firstOffset` are missing. */
  skipTo(firstOffset: number): void {
    this.known = false;
    this.contiguousFrom = firstOffset;
    this.pending = [];
  }

  /** Folds a change. */
  foldChange(change: peer.ConfigurationChange, offset: number): void {
    if (this.known) {
      this.decide(change);
      return;
    }
    this.pending.push({offset, change});
    if (this.pending.length <= MAX_PENDING_CHANGES) return;
    const dropped = this.pending.shift();
    this.contiguousFrom = (dropped?.offset ?? offset) + 1;
  }

  /** Folds a snapshot found in the log; one from before a missing record is passed over. */
  foldSnapshot(snapshot: peer.ConfigurationSnapshot): void {
    if (this.known || snapshot.throughOffset + 1 < this.contiguousFrom) return;
    const later = this.pending.filter(p => p.offset > snapshot.throughOffset);
    if (!this.install(snapshot)) return;
    for (const {change} of later) this.decide(change);
  }

  /** Takes a complete state of another node in place of this one. */
  adopt(snapshot: peer.ConfigurationSnapshot): boolean {
    return this.install(snapshot);
  }

  /** Returns the state for the log or a peer. */
  snapshot(throughOffset: number): peer.ConfigurationSnapshot {
    return {
      revision: this.revisionFolded,
      throughOffset,
      configurationJson: this.current
        ? JSON.stringify(this.current.document)
        : '',
      outcomes: [...this.outcomes.values()],
    };
  }

  private install(snapshot: peer.ConfigurationSnapshot): boolean {
    const document = this.documentOf(snapshot);
    if (document === 'malformed') {
      this.count.increment('malformed.log-record');
      return false;
    }
    this.check.check(
      snapshot.revision >= this.revisionFolded,
      SITE,
      `revision ${snapshot.revision} would replace ${this.revisionFolded}`,
    );
    this.known = true;
    this.pending = [];
    this.outcomes.clear();
    for (const outcome of snapshot.outcomes) this.remember(outcome);
    if (document !== undefined) this.enforce(snapshot.revision, document);
    return true;
  }

  private documentOf(
    snapshot: peer.ConfigurationSnapshot,
  ): generated.Configuration | undefined | 'malformed' {
    if (snapshot.revision === 0) return undefined;
    const parsed = operation.parseConfiguration(snapshot.configurationJson);
    return parsed.kind === 'ok' ? parsed.value : 'malformed';
  }

  /** Accepts a change iff it was made on the current revision and applies. */
  private decide(change: peer.ConfigurationChange): void {
    if (this.outcomes.has(change.changeId)) return;
    if (change.baseRevision !== this.revisionFolded) {
      this.reject(change, this.winnerOver(change));
      return;
    }
    const parsed = operation.parseOperation(change.operationJson);
    const applied =
      parsed.kind === 'ok'
        ? operation.applyOperation(this.current?.document, parsed.value)
        : parsed;
    if (applied.kind === 'invalid') {
      this.count.increment('malformed.log-record');
      this.reject(change, '');
      return;
    }
    const revision = this.revisionFolded + 1;
    this.enforce(revision, applied.value);
    this.remember({
      changeId: change.changeId,
      accepted: true,
      revision,
      rejectedBy: '',
    });
  }

  private reject(change: peer.ConfigurationChange, rejectedBy: string): void {
    this.count.increment('configuration.rejected');
    this.remember({
      changeId: change.changeId,
      accepted: false,
      revision: this.revisionFolded,
      rejectedBy,
    });
  }

  /** Returns the change that took the revision after the base of a late one. */
  private winnerOver(change: peer.ConfigurationChange): string {
    for (const outcome of this.outcomes.values()) {
      if (!outcome.accepted) continue;
      if (outcome.revision === change.baseRevision + 1) return outcome.changeId;
    }
    return '';
  }

  private remember(outcome: peer.ChangeOutcome): void {
    this.outcomes.set(outcome.changeId, outcome);
    if (this.outcomes.size <= MAX_OUTCOMES) return;
    const [oldest] = this.outcomes.keys();
    this.outcomes.delete(oldest);
  }

  private enforce(revision: number, document: generated.Configuration): void {
    this.check.check(
      revision >= this.revisionFolded,
      SITE,
      `revision ${revision} would replace ${this.revisionFolded}`,
    );
    this.revisionFolded = revision;
    if (this.current?.revision === revision) {
      this.check.check(
        JSON.stringify(this.current.document) === JSON.stringify(document),
        SITE,
        `revision ${revision} has two documents`,
      );
      return;
    }
    this.current = new inForce.ConfigurationInForce(revision, document);
  }
}
