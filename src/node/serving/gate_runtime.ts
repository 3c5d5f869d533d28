/** Connects the gate to the backend server and to the entries of all nodes. */
import * as bodyMemory from '../../common/serving/body_memory.js';
import * as crashSuspects from '../../common/serving/crash_suspects.js';
import * as decision from '../../common/serving/decision.js';
import * as gateCall from '../../common/serving/gate_call.js';
import * as gateOptions from '../../common/serving/gate_options.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as rollouts from '../../common/rollouts/rollouts.js';
import * as serverGate from '../../common/serving/server_gate.js';
import * as randomSource from '../../common/random_source.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as resourceStack from '../resource_stack.js';
import * as tcpListener from '../tcp_listener.js';
import * as clock from '../clock.js';
import * as answerMemory from './answer_memory.js';
import * as platformAdapter from './platform_adapter.js';
import * as entrySessions from './entry_sessions.js';
import * as fleetDirectory from './fleet_directory.js';
import * as fleetSync from './fleet_sync.js';
import * as healthChecker from './health_checker.js';
import * as intentWaits from './intent_waits.js';
import * as serverPool from './server_pool.js';
import * as telemetry from './telemetry.js';

/** Share of the process's memory for answers that entries may not have received. */
const REPLY_MEMORY_SHARE = 1 / 8;

/** Share of the process's memory for bodies of requests from other nodes. */
const BODY_MEMORY_SHARE = 1 / 5;

/** Link id of the local entry; sessions of other entries count from 1. */
const LOCAL_LINK_ID = 0;

/** Interval of pulses while a roll-out of the gate's service is on. */
const ROLLOUT_PULSE_MS: units.Millis = 1_000;

/** Requests until the next health check, as a share of those that a cold server gets a second. */
const UNCHECKED_SHARE = 0.5;

/** The entry of the same node, called without a connection. */
export interface LocalEntry {
  onAnswer(answer: serving.Answer): void;
  onRefusal(refusal: serving.Refusal): void;
}

/** Settings and dependencies of `GateRuntime`. */
export interface GateRuntimeOptions {
  readonly service: () => string;
  readonly dataCentre: string;
  readonly http: platformAdapter.HeaderCodec;
  readonly intent: operatorIntent.OperatorIntent;
  readonly suspects: crashSuspects.CrashSuspects;
  readonly rollouts: rollouts.Rollouts;
  readonly directory: fleetDirectory.FleetDirectory;
  readonly fleetSync: () => fleetSync.FleetSync;
  readonly random: randomSource.RandomSource;
  readonly coldRateFactor: number;
  readonly intentBounds: intentWaits.IntentBounds;
  /** Memory that the process may use, in MB. */
  readonly memoryMb: number;
  /** Most connections of other nodes that have sent no greeting yet. */
  readonly maxGreetings: number;
  /** Time since which no former process of this node has sent requests to the backend server. */
  readonly soleSenderSinceMs: units.EpochMs;
  readonly log: telemetry.Telemetry;
  readonly localEntry: LocalEntry;
  /** Answers an entry that asks for tokens. */
  onTokenRequest(request: serving.TokenRequest): serving.TokenGrant;
  greeting(toNodeId: string): serving.Greeting;
  /** Whether this node's own link to an entry's node shows that the entry's process runs. */
  isEntryUp(entryProcess: string): boolean;
  /** Whether this node reads the operators' records successfully. */
  readsStore(): boolean;
  /** Returns the answer to a peer's question for this node's freshness proof. */
  freshness(question: number): serving.FreshnessProof;
  /** Another node has connected and sent its greeting. */
  onPeerGreeting(nodeId: string): void;
  /** Returns the longest time for which a request that is read now may have waited. */
  waitedMs(): units.Millis;
  /** Called after each event that the gate has handled. */
  afterEvent(): void;
}

/** Runs the gate with connections to the backend server, health checks and sessions. */
export class GateRuntime implements AsyncDisposable {
  readonly gate: serverGate.ServerGate;
  private readonly bodyMemory: bodyMemory.BodyMemory;
  private readonly sessions: entrySessions.EntrySessions;
  private readonly pool: serverPool.ServerPool;
  private readonly health: healthChecker.HealthChecker;
  private readonly resources = new resourceStack.ResourceStack();

  constructor(private readonly options: GateRuntimeOptions) {
    const memoryBytes = answerMemory.BYTES_PER_MB * options.memoryMb;
    this.bodyMemory = new bodyMemory.BodyMemory(
      BODY_MEMORY_SHARE * memoryBytes,
    );
    this.gate = new serverGate.ServerGate({
      ...options,
      bodyMemory: this.bodyMemory,
      // The monotonic clock counts from the start of the process.
      startedMs: 0,
      replyBytes: REPLY_MEMORY_SHARE * memoryBytes,
      output: this.gateOutput(),
    });
    this.pool = this.resources.use(this.makePool());
    this.health = this.resources.use(this.makeHealthChecker());
    this.sessions = this.resources.use(this.makeSessions());
  }

  /** Starts accepting connections of other nodes. */
  listen(address: tcpListener.ListenAddress): Promise<void> {
    return this.sessions.listen(address);
  }

  /** Sets the address of the backend server. */
  setServer(address: tcpListener.ListenAddress): void {
    this.pool.setServer(address.ip, address.port);
    this.health.setServer(address.ip, address.port);
    this.gate.recheck();
  }

  /** Handles a request of the local entry. */
  dispatchLocal(dispatch: serving.Dispatch): void {
    const key = localKey(dispatch.call);
    this.gate.onCall(
      {key, linkId: LOCAL_LINK_ID, dispatch, isRemote: false},
      clock.monotonicMs(),
    );
  }

  /** Cancels a request of the local entry. */
  withdrawLocal(call: number): void {
    this.gate.onWithdraw(localKey(call), clock.monotonicMs());
  }

  /** Handles what another node was told of the backend server. */
  onNotice(notice: serving.ServerNotice): void {
    this.gate.onNotice(notice, clock.monotonicMs());
    this.options.afterEvent();
  }

  /** Handles the end of a pause of the process. */
  onResumed(pausedMs: units.Millis): void {
    this.health.abandon();
    this.gate.onResumed(pausedMs, clock.monotonicMs());
  }

  /** Number of requests without a reply that its entry has or no longer awaits. */
  get unfinished(): number {
    const {unanswered, sentReplies} = this.gate;
    return unanswered + sentReplies.lostCount(clock.monotonicMs());
  }

  /** Ends the links with replies that may be unread and returns their number. */
  endUnconfirmedLinks(): number {
    const now = clock.monotonicMs();
    const links = this.gate.sentReplies.unconfirmedLinks(now);
    for (const linkId of links) this.sessions.end(linkId);
    return links.size;
  }

  /** Sends a pulse to all entries now. */
  pulseAll(): void {
    this.sessions.pulseAll();
  }

  /** Applies a change of the operators' intent. */
  onIntentChanged(now: units.MonotonicMs): void {
    this.gate.onIntent(now);
    this.health.tick(now);
    this.sessions.pulseAll();
  }

  /** Runs the timers of the gate, the sessions and the health checks. */
  tick(now: units.MonotonicMs): void {
    this.gate.tick(now);
    this.sessions.tick(now);
    this.health.tick(now);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  private gateOutput(): gateCall.GateOutput {
    const {localEntry} = this.options;
    return {
      run: (call, instanceId, timeLeftMs) => {
        this.pool.run(call, instanceId, timeLeftMs);
        this.health.onRun();
      },
      abort: key => this.pool.abort(key),
      answer: (linkId, value) => {
        if (linkId === LOCAL_LINK_ID) localEntry.onAnswer(value);
        else this.sessions.send(linkId, {$case: 'answer', value});
      },
      refuse: (linkId, value) => {
        if (linkId === LOCAL_LINK_ID) localEntry.onRefusal(value);
        else this.sessions.send(linkId, {$case: 'refusal', value});
      },
      checkHealth: () => this.health.checkNow(),
      sampleLoad: () => this.health.sample(),
      reportSuspect: value =>
        this.sessions.broadcast({$case: 'suspect', value}),
      rateLimitChanged: () => this.sessions.pulseAll(),
      closureChanged: () => this.sessions.pulseAll(),
    };
  }

  private makePool(): serverPool.ServerPool {
    return new serverPool.ServerPool({
      http: this.options.http,
      answerMemory: answerMemory.AnswerMemory.ofProcess(this.options.memoryMb),
      nowMs: clock.monotonicMs,
      listener: {
        onHead: (key, facts) => {
          // Another instance has answered a misdirected request.
          if (facts.misdirected) return;
          const source = facts.notRun ? 'shed' : 'run';
          const {limit, leaving} = facts;
          const statement = {source, limit, leaving} as const;
          this.gate.onStatement(key, statement, clock.monotonicMs());
          this.options.afterEvent();
        },
        onRunEnded: (key, {end, facts}) => {
          const now = clock.monotonicMs();
          if (facts?.load) {
            this.gate.onServerLoad(facts.load, now);
            this.health.onLoadReported();
          }
          this.gate.onRunEnded(key, end, now);
          this.options.afterEvent();
        },
        onIdleEnded: () => this.gate.recheck(),
      },
    });
  }

  private makeHealthChecker(): healthChecker.HealthChecker {
    const {intent, service, http, afterEvent} = this.options;
    return new healthChecker.HealthChecker({
      http,
      nowMs: clock.monotonicMs,
      path: () => intent.configuration?.serviceRules(service())?.healthPath,
      needsCheck: () => this.gate.needsHealthCheck,
      maxRunsUnchecked: () =>
        UNCHECKED_SHARE * gateOptions.coldPerSecond(this.options),
      hasWaiting: () => this.gate.load(clock.monotonicMs()).waiting > 0,
      listener: {
        onHealth: (sample, load) => {
          const now = clock.monotonicMs();
          if (load) this.gate.onServerLoad(load, now);
          this.gate.onHealth(sample, now);
          afterEvent();
        },
        onHealthFailed: failure => {
          // Idle connections may be silent as well, and requests sent on them get no answer.
          this.pool.dropIdle();
          this.gate.onHealthFailed(failure, clock.monotonicMs());
          afterEvent();
        },
      },
    });
  }

  private maxPulseIntervalMs(nodeId: string): units.Millis {
    const {rollouts, directory, intentBounds} = this.options;
    const rolloutMs = rollouts.isActive ? ROLLOUT_PULSE_MS : Infinity;
    const isSource = this.options.readsStore() && directory.isNear(nodeId);
    const intentMs = isSource
      ? intentWaits.readerPulseMs(intentBounds)
      : Infinity;
    return Math.min(rolloutMs, intentMs);
  }

  private makeSessions(): entrySessions.EntrySessions {
    const {directory, fleetSync, greeting, afterEvent} = this.options;
    return new entrySessions.EntrySessions({
      nowMs: clock.monotonicMs,
      waitedMs: () => this.options.waitedMs(),
      greeting,
      pulse: () => ({
        load: this.gate.load(clock.monotonicMs()),
        ...fleetSync().ownIntent(),
        readsStore: this.options.readsStore(),
        rollouts: this.options.rollouts.reports(clock.monotonicMs()),
      }),
      state: () => fleetSync().state(),
      freshness: question => this.options.freshness(question),
      maxPulseIntervalMs: nodeId => this.maxPulseIntervalMs(nodeId),
      nodeCount: () => directory.size,
      bodyMemory: this.bodyMemory,
      maxGreetings: this.options.maxGreetings,
      onRefused: reason =>
        decision.noteStateChange(
          this.options.log,
          'gate',
          'connection-closed',
          {
            reason,
          },
        ),
      listener: {
        onGreeting: (sender, startedMs) => {
          const {nodeId} = sender;
          directory.put(sender);
          this.options.onPeerGreeting(nodeId);
          this.gate.onEntryStarted(nodeId, startedMs, clock.monotonicMs());
          afterEvent();
        },
        onNotice: notice => this.onNotice(notice),
        onDispatch: (key, linkId, dispatch, age) => {
          const now = clock.monotonicMs();
          this.gate.onCall({key, linkId, dispatch, ...age}, now);
          afterEvent();
        },
        onTurnedAway: (key, linkId, dispatch) => {
          const call = {key, linkId, dispatch, lacksBody: true};
          this.gate.onCall(call, clock.monotonicMs());
          afterEvent();
        },
        onWithdraw: key => {
          this.gate.onWithdraw(key, clock.monotonicMs());
          afterEvent();
        },
        onTokenRequest: request => this.options.onTokenRequest(request),
        onLinkLost: (linkId, isEnded) => {
          const now = clock.monotonicMs();
          if (isEnded) this.gate.sentReplies.onLinkEnded(linkId, now);
          else this.gate.onLinkLost(linkId, now);
        },
      },
    });
  }
}

function localKey(call: number): string {
  return `own/${call}`;
}
