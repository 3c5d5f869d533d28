/** Decides which nodes read the operators' records, and reads them. */
import * as decision from '../../common/serving/decision.js';
import * as randomSource from '../../common/random_source.js';
import * as units from '../../common/units.js';
import * as dialect from './dialect.js';
import * as fleetDirectory from './fleet_directory.js';
import * as fleetKnowledge from './fleet_knowledge.js';
import * as topicFollower from './topic_follower.js';

/**
 * Longest waits of the first reader's reads for the next record, and of the others'. A connection
 * gone silent is found when they end.
 */
const FIRST_WAIT_MS: units.Millis = 2_500;
const WAIT_MS: units.Millis = 20_000;

/** Readers of each data centre; one may be turned away by the store without notice. */
const READERS = 2;

/** What the reads are made with. */
export interface StoreReadersOptions {
  readonly store: dialect.SharedStore;
  readonly knowledge: fleetKnowledge.FleetKnowledge;
  readonly directory: fleetDirectory.FleetDirectory;
  readonly random: randomSource.RandomSource;
  readonly log: decision.DecisionLog;
  /** Whether a node is known to read the store with success. */
  readsStore(nodeId: string): boolean;
  /** Offset of the newest operators' record known. */
  knownOffset(): number;
  /** The store answers this node's reads again, or no longer. */
  onReadsStore(): void;
}

/**
 * Calls of the store are dear and each record answers all waiting reads, so that few nodes read: of
 * each data centre the first by name that the store answers. They tell the others at once.
 */
export class StoreReaders implements AsyncDisposable {
  private readonly follower: topicFollower.TopicFollower;

  constructor(private readonly options: StoreReadersOptions) {
    const {store, knowledge, random, log} = options;
    this.follower = new topicFollower.TopicFollower({
      topic: 'operators',
      store,
      log,
      random: () => random.next(),
      waitMs: () => (this.earlierReaders === 0 ? FIRST_WAIT_MS : WAIT_MS),
      isNeeded: () => this.isReader,
      knownOffset: () => options.knownOffset(),
      onReachable: () => options.onReadsStore(),
      listener: {
        onNewest: newest => knowledge.onOperatorsNewest(newest),
        onRecord: record => knowledge.onOperatorsRecord(record),
      },
    });
  }

  /** Starts to read. */
  start(): void {
    this.follower.start();
  }

  /** Whether this node is to read. */
  get isReader(): boolean {
    return this.earlierReaders < READERS;
  }

  /** Whether this node reads and the store answers. */
  get readsStore(): boolean {
    return this.isReader && this.follower.isReachable;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.follower[Symbol.asyncDispose]();
  }

  /** Nodes of the data centre that come before this one and read with success. */
  private get earlierReaders(): number {
    const {directory, readsStore} = this.options;
    const {nodeId, dataCentre} = directory.self;
    return directory.others.filter(
      other =>
        other.dataCentre === dataCentre &&
        other.nodeId < nodeId &&
        readsStore(other.nodeId),
    ).length;
  }
}
