/** The gate of a node with its surroundings: backend server, health, other nodes' entries. */
import * as crashSuspects from '../../common/serving/crash_suspects.js';
import * as gateCall from '../../common/serving/gate_call.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as serverGate from '../../common/serving/server_gate.js';
import * as randomSource from '../../common/random_source.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as resourceStack from '../resource_stack.js';
import * as tcpListener from '../tcp_listener.js';
import * as clock from '../clock.js';
import * as dialect from './dialect.js';
import * as entrySessions from './entry_sessions.js';
import * as fleetDirectory from './fleet_directory.js';
import * as fleetKnowledge from './fleet_knowledge.js';
import * as healthChecker from './health_checker.js';
import * as serverPool from './server_pool.js';
import * as telemetry from './telemetry.js';

/** Source number of this node's own entry; sessions count from 1. */
const OWN_SOURCE = 0;

/** What this node's own entry is told by the gate. */
export interface OwnEntry {
  onAnswer(answer: serving.Answer): void;
  onRefusal(refusal: serving.Refusal): void;
}

/** What the gate's side is made with. */
export interface GateSideOptions {
  readonly service: () => string;
  readonly dataCentre: string;
  readonly http: dialect.HttpDialect;
  readonly intent: operatorIntent.OperatorIntent;
  readonly suspects: crashSuspects.CrashSuspects;
  readonly directory: fleetDirectory.FleetDirectory;
  readonly knowledge: () => fleetKnowledge.FleetKnowledge;
  readonly random: randomSource.RandomSource;
  readonly coldRateFactor: number;
  /** Start of the process. */
  readonly startedEpochMs: units.EpochMs;
  readonly log: telemetry.Telemetry;
  readonly ownEntry: OwnEntry;
  greeting(toNodeId: string): serving.Greeting;
  /** Whether this node reads the operators' records with success. */
  readsStore(): boolean;
  /** Another node has opened a link. */
  onSignOfLife(nodeId: string): void;
  /** Called after each event of the gate. */
  afterEvent(): void;
}

/** Joins the gate with sockets. */
export class GateSide implements AsyncDisposable {
  readonly gate: serverGate.ServerGate;
  private readonly sessions: entrySessions.EntrySessions;
  private readonly pool: serverPool.ServerPool;
  private readonly health: healthChecker.HealthChecker;
  private readonly resources = new resourceStack.ResourceStack();

  constructor(private readonly options: GateSideOptions) {
    this.gate = new serverGate.ServerGate({
      ...options,
      // The monotonic clock counts from the start of the process.
      startedMs: 0,
      output: this.gateOutput(),
    });
    this.pool = this.resources.use(this.makePool());
    this.health = this.resources.use(this.makeHealthChecker());
    this.sessions = this.resources.use(this.makeSessions());
  }

  /** Starts to accept other nodes. */
  listen(address: tcpListener.ListenAddress): Promise<void> {
    return this.sessions.listen(address);
  }

  /** Sets where the backend server listens. */
  setServer(address: tcpListener.ListenAddress): void {
    this.pool.setServer(address.ip, address.port);
    this.health.setServer(address.ip, address.port);
    this.gate.doubt();
  }

  /** Takes a request of this node's own entry. */
  dispatchOwn(dispatch: serving.Dispatch): void {
    this.health.onRequest();
    const key = ownKey(dispatch.call);
    this.gate.onCall({key, source: OWN_SOURCE, dispatch}, clock.monotonicMs());
  }

  /** Ends a request of this node's own entry that nobody wants any more. */
  withdrawOwn(call: number): void {
    this.gate.onWithdraw(ownKey(call), clock.monotonicMs());
  }

  /** Tells all entries at once what pulses hold. */
  pulseNow(): void {
    this.sessions.pulseNow();
  }

  /** The operators' intent has changed. */
  onIntentChanged(now: units.MonotonicMs): void {
    this.gate.onIntent(now);
    this.health.tick(now);
    this.sessions.pulseNow();
  }

  /** Does what time has made due. */
  tick(now: units.MonotonicMs): void {
    this.gate.tick(now);
    this.sessions.tick(now);
    this.health.tick(now);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  private gateOutput(): gateCall.GateOutput {
    const {ownEntry} = this.options;
    return {
      run: (call, instanceId, timeLeftMs) =>
        this.pool.run(call, instanceId, timeLeftMs),
      abort: key => this.pool.abort(key),
      answer: (source, value) => {
        if (source === OWN_SOURCE) ownEntry.onAnswer(value);
        else this.sessions.send(source, {$case: 'answer', value});
      },
      refuse: (source, value) => {
        if (source === OWN_SOURCE) ownEntry.onRefusal(value);
        else this.sessions.send(source, {$case: 'refusal', value});
      },
      checkHealth: () => this.health.checkNow(),
      reportSuspect: (fingerprint, deaths) => {
        const value = {fingerprint, deaths};
        this.sessions.broadcast({$case: 'suspect', value});
      },
      closureChanged: () => this.sessions.pulseNow(),
    };
  }

  private makePool(): serverPool.ServerPool {
    return new serverPool.ServerPool({
      http: this.options.http,
      nowMs: clock.monotonicMs,
      listener: {
        onRunEnded: (key, {end, facts}) => {
          const now = clock.monotonicMs();
          if (facts?.load) {
            this.gate.onServerLoad(facts.load, now);
            this.health.onLoadTold();
          }
          this.gate.onRunEnded(key, end, now);
          this.options.afterEvent();
        },
        onIdleEnded: () => this.gate.doubt(),
      },
    });
  }

  private makeHealthChecker(): healthChecker.HealthChecker {
    const {intent, service, http, afterEvent} = this.options;
    return new healthChecker.HealthChecker({
      http,
      nowMs: clock.monotonicMs,
      path: () => intent.configuration?.serviceRules(service())?.healthPath,
      isDoubted: () => this.gate.isDoubted,
      listener: {
        onHealth: (sample, load) => {
          const now = clock.monotonicMs();
          if (load) this.gate.onServerLoad(load, now);
          this.gate.onHealth(sample, now);
          afterEvent();
        },
        onHealthFailed: failure => {
          this.gate.onHealthFailed(failure, clock.monotonicMs());
          afterEvent();
        },
      },
    });
  }

  private makeSessions(): entrySessions.EntrySessions {
    const {directory, knowledge, greeting, afterEvent} = this.options;
    return new entrySessions.EntrySessions({
      nowMs: clock.monotonicMs,
      greeting,
      pulse: () => ({
        load: this.gate.load(clock.monotonicMs()),
        intentOffset: knowledge().shiftedOffset,
        readsStore: this.options.readsStore(),
      }),
      state: () => knowledge().state(),
      nodeCount: () => directory.size,
      listener: {
        onGreeting: sender => {
          directory.put(sender);
          this.options.onSignOfLife(sender.nodeId);
        },
        onDispatch: (key, source, dispatch) => {
          this.health.onRequest();
          const now = clock.monotonicMs();
          this.gate.onCall({key, source, dispatch}, now);
          afterEvent();
        },
        onWithdraw: key => {
          this.gate.onWithdraw(key, clock.monotonicMs());
          afterEvent();
        },
        onSourceLost: source =>
          this.gate.onSourceLost(source, clock.monotonicMs()),
      },
    });
  }
}

function ownKey(call: number): string {
  return `own/${call}`;
}
