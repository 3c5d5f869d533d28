/** Reads the operators' records on a few nodes of each data centre. */
import * as decision from '../../common/serving/decision.js';
import * as logPosition from '../../common/serving/log_position.js';
import * as randomSource from '../../common/random_source.js';
import * as units from '../../common/units.js';
import * as platformAdapter from './platform_adapter.js';
import * as fleetDirectory from './fleet_directory.js';
import * as fleetSync from './fleet_sync.js';
import * as intentWaits from './intent_waits.js';
import * as nodeRecord from './node_record.js';
import * as topicFollower from './topic_follower.js';

/**
 * Longest time that a read of another reader than the first one waits for the next record. It may
 * hang as long if its connection is silent, unless peers learn of a newer record or the earlier
 * nodes of the data centre have gone.
 */
const LATER_WAIT_MS: units.Millis = 20_000;

/** Interval of checks whether the earlier nodes of the data centre have gone. */
const FIRST_CHECK_INTERVAL_MS: units.Millis = 500;

/** Readers per data centre: two, as the store may stop serving one without an error. */
const READERS_PER_DATA_CENTRE = 2;

/**
 * Share of the revocation bound that a read of the first reader waits if keys must be admitted. A
 * proof counts from the sending of its read, so the proof of this reader is then at most twice as
 * old. With four data centres and a bound of 5 s, these are 3.2 calls a second.
 */
const PROOF_WAIT_SHARE = 0.25;

/** Share of the bound from which on reads of a reader wait for `RENEWAL_WAIT_MS` only. */
const STALE_SHARE = 0.6;

/** Keeps reads that do not renew the proof from following each other without a pause. */
const RENEWAL_WAIT_MS: units.Millis = 250;

/** Freshness proofs as the reads of the store need and renew them. */
export interface ProofReader {
  /** Time for which a proof is valid, infinity if none is needed now. */
  boundMs(): units.Millis;
  /** Age of the proof, infinity without one. */
  ageMs(): units.Millis;
  now(): units.Instant;
  onConfirmed(sent: units.Instant, position: logPosition.LogPosition): void;
}

/** Dependencies of `StoreReaders`. */
export interface StoreReadersOptions {
  readonly store: platformAdapter.SharedStore;
  readonly fleetSync: fleetSync.FleetSync;
  readonly directory: fleetDirectory.FleetDirectory;
  readonly random: randomSource.RandomSource;
  readonly log: decision.DecisionLog;
  readonly bounds: intentWaits.IntentBounds;
  /** Whether a node is known to read the store successfully. */
  readsStore(nodeId: string): boolean;
  /** Whether the link to a node is open. */
  isLinked(nodeId: string): boolean;
  /** Returns the position of the newest operators' record known. */
  knownPosition(): logPosition.LogPosition;
  /** Freshness proofs, which the reads of this node renew. */
  readonly proofs: ProofReader;
  /** Called when the store starts or stops answering this node. */
  onReadsStoreChanged(): void;
}

/**
 * Calls to the store are expensive and each new record answers all waiting reads, so only a few
 * nodes read: in each data centre the first by node id that the store answers. Their pulses notify
 * the other nodes of new records at once.
 */
export class StoreReaders implements AsyncDisposable {
  private readonly follower: topicFollower.TopicFollower;
  /** Time at which it was last checked whether earlier nodes are there. */
  private checkedMs: units.MonotonicMs = -Infinity;

  constructor(private readonly options: StoreReadersOptions) {
    const {store, fleetSync, random, log} = options;
    this.follower = new topicFollower.TopicFollower({
      topic: 'operators',
      store,
      log,
      random: () => random.next(),
      now: () => options.proofs.now(),
      waitMs: () => this.waitMs(),
      retryPeriodMs: intentWaits.retryPeriodMs(options.bounds),
      isNeeded: () => this.isReader,
      knownPosition: () => options.knownPosition(),
      onReachabilityChanged: () => options.onReadsStoreChanged(),
      listener: {
        onNewest: newest => fleetSync.onOperatorsSnapshot(newest),
        onRecord: record => fleetSync.onOperatorsRecord(record),
        onConfirmed: (sent, position) =>
          options.proofs.onConfirmed(sent, position),
      },
    });
  }

  /** Starts reading. */
  start(): void {
    this.follower.start();
  }

  /** Whether this node is to read the store. */
  get isReader(): boolean {
    return this.earlierReaders < READERS_PER_DATA_CENTRE;
  }

  /** Whether this node reads and the store answers. */
  get readsStore(): boolean {
    return this.isReader && this.follower.isReachable;
  }

  /** Ends a read that should have been answered, as when this node has become the first reader. */
  tick(): void {
    const {proofs} = this.options;
    const hasProofBound = proofs.boundMs() !== Infinity;
    this.follower.tick(() => hasProofBound || this.isFirstNode());
  }

  /** Whether no earlier node of the data centre is there; false if this was checked just before. */
  private isFirstNode(): boolean {
    const {proofs, isLinked} = this.options;
    const now = proofs.now().monotonicMs;
    if (now - this.checkedMs < FIRST_CHECK_INTERVAL_MS) return false;
    this.checkedMs = now;
    // Nodes that are there but do not read have lost the store, and so may this one have.
    return !this.earlierNodes.some(({nodeId}) => isLinked(nodeId));
  }

  /** Whether this node's reads alone keep its freshness proof young. */
  get readsOften(): boolean {
    return this.follower.isReachable && this.earlierReaders === 0;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.follower[Symbol.asyncDispose]();
  }

  /** Number of nodes of the data centre with a lower id that read successfully. */
  private get earlierReaders(): number {
    const {readsStore} = this.options;
    return this.earlierNodes.filter(({nodeId}) => readsStore(nodeId)).length;
  }

  /** Nodes of the data centre with a lower id. */
  private get earlierNodes(): readonly nodeRecord.NodeRecord[] {
    const {directory} = this.options;
    const {nodeId, dataCentre} = directory.self;
    return directory.others.filter(
      other => other.dataCentre === dataCentre && other.nodeId < nodeId,
    );
  }

  private waitMs(): units.Millis {
    const isFirst = this.earlierReaders === 0;
    const {proofs, bounds} = this.options;
    const waitMs = isFirst ? intentWaits.readWaitMs(bounds) : LATER_WAIT_MS;
    const boundMs = proofs.boundMs();
    if (boundMs === Infinity) return waitMs;
    if (proofs.ageMs() > STALE_SHARE * boundMs) return RENEWAL_WAIT_MS;
    return isFirst ? Math.min(waitMs, PROOF_WAIT_SHARE * boundMs) : waitMs;
  }
}
