/** Reads of the store that keep a node's knowledge current. */
import * as decision from '../../common/serving/decision.js';
import * as randomSource from '../../common/random_source.js';
import * as units from '../../common/units.js';
import * as resourceStack from '../resource_stack.js';
import * as dialect from './dialect.js';
import * as fleetKnowledge from './fleet_knowledge.js';
import * as topicFollower from './topic_follower.js';

/** Longest waits of reads for the next record; a connection gone silent is found when they end. */
const READER_WAIT_MS: units.Millis = 2_500;
const FOLLOWER_WAIT_MS: units.Millis = 20_000;

/** What the reads are made with. */
export interface StoreReadersOptions {
  readonly store: dialect.SharedStore;
  readonly knowledge: fleetKnowledge.FleetKnowledge;
  readonly random: randomSource.RandomSource;
  readonly log: decision.DecisionLog;
  /** Whether this node is among those that find a lost connection early and tell the others. */
  isReader(): boolean;
}

/** Follows both topics until it is disposed. */
export class StoreReaders implements AsyncDisposable {
  private readonly resources = new resourceStack.ResourceStack();

  constructor(private readonly options: StoreReadersOptions) {}

  /** Starts to read. */
  start(): void {
    const {knowledge, isReader} = this.options;
    this.follow(
      'operators',
      () => (isReader() ? READER_WAIT_MS : FOLLOWER_WAIT_MS),
      {
        onNewest: newest => knowledge.onOperatorsNewest(newest),
        onRecord: record => knowledge.onOperatorsRecord(record),
      },
    );
    this.follow('fleet', () => FOLLOWER_WAIT_MS, {
      onNewest: newest => knowledge.onFleetNewest(newest),
      onRecord: record => knowledge.onFleetRecord(record),
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  private follow(
    topic: dialect.Topic,
    waitMs: () => units.Millis,
    listener: topicFollower.TopicListener,
  ): void {
    const {store, random, log} = this.options;
    const follower = new topicFollower.TopicFollower({
      topic,
      store,
      listener,
      log,
      waitMs,
      random: () => random.next(),
    });
    this.resources.use(follower).start();
  }
}
