/** Composes a node for the users' platform; disposing it tears everything down. */
import * as crashSuspects from '../../common/serving/crash_suspects.js';
import * as decision from '../../common/serving/decision.js';
import * as entryModule from '../../common/serving/entry.js';
import * as gateReports from '../../common/serving/gate_reports.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as placement from '../../common/serving/placement.js';
import * as serverGate from '../../common/serving/server_gate.js';
import * as randomSource from '../../common/random_source.js';
import * as units from '../../common/units.js';
import * as generated from '../../generated/node_settings.js';
import * as serving from '../../generated/serving.js';
import * as requestFingerprint from '../request_fingerprint.js';
import * as resourceStack from '../resource_stack.js';
import * as address from './address.js';
import * as callerPort from './caller_port.js';
import * as dialect from './dialect.js';
import * as entrySessions from './entry_sessions.js';
import * as fleetDirectory from './fleet_directory.js';
import * as fleetKnowledge from './fleet_knowledge.js';
import * as gateLinks from './gate_links.js';
import * as healthChecker from './health_checker.js';
import * as nodeStop from './node_stop.js';
import * as ownRecord from './own_record.js';
import * as serverPool from './server_pool.js';
import * as smallServer from './small_server.js';
import * as telemetry from './telemetry.js';
import * as topicFollower from './topic_follower.js';

/** Interval of the work that no event triggers. */
const TICK_MS: units.Millis = 50;

/** Longest waits of reads for the next record; a lost connection is found when they end. */
const READER_WAIT_MS: units.Millis = 2_500;
const FOLLOWER_WAIT_MS: units.Millis = 20_000;

/** Nodes, first by name, that keep short reads of the operators' topic; peers tell the rest. */
const READERS = 2;

/** Source number of this node's own entry; sessions count from 1. */
const OWN_SOURCE = 0;

const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const CONFLICT = 409;
const UNAVAILABLE = 503;

/** What a node is made from. */
export interface ServingNodeOptions {
  readonly settings: generated.NodeSettings;
  readonly platform: dialect.Platform;
  readonly telemetry: telemetry.Telemetry;
  readonly processStartedMs: units.EpochMs;
}

/** A running node. */
export class ServingNode implements AsyncDisposable {
  private readonly intent = new operatorIntent.OperatorIntent();
  private readonly suspects = new crashSuspects.CrashSuspects();
  private readonly reports = new gateReports.GateReports();
  private readonly directory: fleetDirectory.FleetDirectory;
  private readonly knowledge: fleetKnowledge.FleetKnowledge;
  private readonly gate: serverGate.ServerGate;
  private readonly entry: entryModule.Entry;
  private readonly links: gateLinks.GateLinks;
  private readonly sessions: entrySessions.EntrySessions;
  private readonly pool: serverPool.ServerPool;
  private readonly health: healthChecker.HealthChecker;
  private readonly callers: callerPort.CallerPort;
  private readonly record: ownRecord.OwnRecord;
  private readonly resources = new resourceStack.ResourceStack();
  private readonly random: randomSource.SeededRandom;
  private service: string;
  private timer: NodeJS.Timeout | undefined;
  private timerDueMs = Infinity;
  private stopping: nodeStop.NodeStop | undefined;

  private constructor(
    private readonly options: ServingNodeOptions,
    fingerprint: requestFingerprint.RequestFingerprint,
  ) {
    const {settings, platform, telemetry: log} = options;
    const use = this.resources.use.bind(this.resources);
    this.service = settings.service;
    this.random = new randomSource.SeededRandom(options.processStartedMs | 0);
    this.directory = use(new fleetDirectory.FleetDirectory(recordOf(settings)));
    this.record = use(
      new ownRecord.OwnRecord(platform.store, this.directory, log),
    );
    this.knowledge = new fleetKnowledge.FleetKnowledge({
      intent: this.intent,
      suspects: this.suspects,
      directory: this.directory,
      decoder: platform.intent,
      log,
      onIntentChanged: () => this.onIntentChanged(),
      onOwnRecord: record => this.record.onStored(record),
      requestState: nodeId => this.links.requestState(nodeId),
      nowMs,
    });
    this.gate = this.makeGate();
    this.pool = use(this.makePool());
    this.health = use(this.makeHealthChecker());
    this.sessions = use(this.makeSessions());
    this.links = use(this.makeLinks());
    this.entry = this.makeEntry();
    this.callers = use(this.makeCallerPort(fingerprint));
    this.setServer(settings);
  }

  /** Starts a node; resolves once it listens on all its ports. */
  static async start(options: ServingNodeOptions): Promise<ServingNode> {
    const fingerprint = await requestFingerprint.RequestFingerprint.load();
    const node = new ServingNode(options, fingerprint);
    try {
      await node.open();
      return node;
    } catch (err) {
      await node[Symbol.asyncDispose]();
      throw err;
    }
  }

  /** Takes settings that have changed while the node runs. */
  reload(settings: generated.NodeSettings): void {
    this.service = settings.service;
    this.directory.setSelf(recordOf(settings));
    this.setServer(settings);
    this.note('reload', {service: settings.service, server: settings.server});
  }

  /** Finishes what is under way; resolves when the process may end. */
  stop(): Promise<void> {
    this.stopping ??= new nodeStop.NodeStop({
      stopMs: this.options.platform.bounds.stopMs,
      begin: () => {
        this.gate.stop(nowMs());
        this.afterEvent();
      },
      announceClosing: () => this.callers.announceClosing(),
      refuseNew: () => this.callers.refuseNew(),
      unfinished: () => this.callers.inProgress + this.gate.unanswered,
    });
    return this.stopping.finished;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this.timer);
    this.timerDueMs = -Infinity;
    await this.resources[Symbol.asyncDispose]();
  }

  private async open(): Promise<void> {
    const {listen} = this.options.settings;
    const readiness = new smallServer.SmallServer(() => this.readiness());
    const announcements = new smallServer.SmallServer(req =>
      this.onServerMessage(req),
    );
    this.resources.use(readiness);
    this.resources.use(announcements);
    await Promise.all([
      readiness.listen(address.parseAddress(listen.readiness)),
      announcements.listen(address.parseAddress(listen.announcements)),
      this.sessions.listen(address.parseAddress(listen.peers)),
      this.callers.listen(address.parseAddress(listen.callers)),
      this.openMetrics(listen.metrics),
    ]);
    this.startFollowing();
    this.arm(nowMs() + TICK_MS);
  }

  private async openMetrics(at: string | undefined): Promise<void> {
    if (at === undefined) return;
    const {telemetry: series} = this.options;
    const server = new smallServer.SmallServer(async () => ({
      status: OK,
      contentType: series.contentType,
      text: await series.text(),
    }));
    this.resources.use(server);
    await server.listen(address.parseAddress(at));
  }

  private startFollowing(): void {
    const {platform, telemetry: log} = this.options;
    const {store} = platform;
    const {knowledge} = this;
    const random = (): number => this.random.next();
    const operators = new topicFollower.TopicFollower({
      topic: 'operators',
      store,
      log,
      random,
      waitMs: () => (this.isReader ? READER_WAIT_MS : FOLLOWER_WAIT_MS),
      listener: {
        onNewest: newest => knowledge.onOperatorsNewest(newest),
        onRecord: record => knowledge.onOperatorsRecord(record),
      },
    });
    const fleet = new topicFollower.TopicFollower({
      topic: 'fleet',
      store,
      log,
      random,
      waitMs: () => FOLLOWER_WAIT_MS,
      listener: {
        onNewest: newest => knowledge.onFleetNewest(newest),
        onRecord: record => knowledge.onFleetRecord(record),
      },
    });
    this.resources.use(operators).start();
    this.resources.use(fleet).start();
  }

  /** Whether this node is among those that find a lost connection to the store early. */
  private get isReader(): boolean {
    const {self, others} = this.directory;
    const earlier = others.filter(
      ({nodeId}) => nodeId < self.nodeId && this.links.isUp(nodeId),
    );
    return earlier.length < READERS;
  }

  private makeGate(): serverGate.ServerGate {
    const {settings, telemetry: log} = this.options;
    return new serverGate.ServerGate({
      service: () => this.service,
      dataCentre: settings.dataCentre,
      intent: this.intent,
      suspects: this.suspects,
      log,
      startedMs: nowMs(),
      output: {
        run: (call, instanceId, timeLeftMs) =>
          this.pool.run(call, instanceId, timeLeftMs),
        abort: key => this.pool.abort(key),
        answer: (source, answer) => this.answer(source, answer),
        refuse: (source, refusal) => this.refuse(source, refusal),
        checkHealth: () => this.health.checkNow(),
        reportSuspect: (fingerprint, deaths) =>
          this.sessions.broadcast({
            $case: 'suspect',
            value: {fingerprint, deaths},
          }),
        closureChanged: () => this.onClosureChanged(),
      },
    });
  }

  private makePool(): serverPool.ServerPool {
    return new serverPool.ServerPool({
      http: this.options.platform.http,
      nowMs,
      listener: {
        onRunEnded: (key, {end, facts}) => {
          if (facts?.load) {
            this.gate.onServerLoad(facts.load, nowMs());
            this.health.onLoadTold();
          }
          this.gate.onRunEnded(key, end, nowMs());
          this.afterEvent();
        },
        onIdleEnded: () => this.gate.doubt(),
      },
    });
  }

  private makeHealthChecker(): healthChecker.HealthChecker {
    return new healthChecker.HealthChecker({
      http: this.options.platform.http,
      nowMs,
      path: () =>
        this.intent.configuration?.serviceRules(this.service)?.healthPath,
      isDoubted: () => this.gate.isDoubted,
      listener: {
        onHealth: (sample, load) => {
          if (load) this.gate.onServerLoad(load, nowMs());
          this.gate.onHealth(sample, nowMs());
          this.afterEvent();
        },
        onHealthFailed: failure => {
          this.gate.onHealthFailed(failure, nowMs());
          this.afterEvent();
        },
      },
    });
  }

  private makeSessions(): entrySessions.EntrySessions {
    return new entrySessions.EntrySessions({
      nowMs,
      greeting: toNodeId => this.greeting(toNodeId),
      pulse: () => this.pulse(),
      state: () => this.knowledge.state(),
      listener: {
        onGreeting: sender => this.directory.put(sender),
        onDispatch: (key, source, dispatch) => {
          this.health.onRequest();
          this.gate.onCall({key, source, dispatch}, nowMs());
          this.afterEvent();
        },
        onWithdraw: key => {
          this.gate.onWithdraw(key, nowMs());
          this.afterEvent();
        },
        onSourceLost: source => this.gate.onSourceLost(source, nowMs()),
      },
    });
  }

  private makeLinks(): gateLinks.GateLinks {
    return new gateLinks.GateLinks({
      directory: this.directory,
      log: this.options.telemetry,
      greeting: toNodeId => this.greeting(toNodeId),
      nowMs,
      listener: {
        onDown: nodeId => this.reports.forget(nodeId),
        onAnswer: (nodeId, answer) => {
          this.entry.onAnswer(nodeId, answer, nowMs());
          this.afterEvent();
        },
        onRefusal: (nodeId, refusal) => {
          this.entry.onRefusal(nodeId, refusal, nowMs());
          this.afterEvent();
        },
        onPulse: (nodeId, pulse) => this.onPulse(nodeId, pulse),
        onState: (nodeId, state) => this.knowledge.onState(nodeId, state),
        onSuspect: suspect => this.onSuspect(suspect),
        onRequestLost: (nodeId, call) => {
          this.entry.onLinkFailed(nodeId, call, true, nowMs());
          this.afterEvent();
        },
      },
    });
  }

  private makeEntry(): entryModule.Entry {
    const {settings, platform, telemetry: log} = this.options;
    const {repeatRatio, repeatSlack} = platform.bounds;
    return new entryModule.Entry({
      intent: this.intent,
      reports: this.reports,
      placement: new placement.Placement({
        dataCentre: settings.dataCentre,
        directory: {gatesOf: service => this.gatesOf(service)},
        reports: this.reports,
        random: this.random,
      }),
      budget: {ratio: repeatRatio, slack: repeatSlack},
      nodeCount: () => this.directory.size,
      log,
      output: {
        dispatch: (nodeId, dispatch) => this.dispatch(nodeId, dispatch),
        withdraw: (nodeId, attempt) => this.withdraw(nodeId, attempt),
        respond: (id, answer) => this.callers.respond(id, answer),
        giveUp: (id, giveUp) => this.callers.giveUp(id, giveUp),
      },
    });
  }

  private makeCallerPort(
    fingerprint: requestFingerprint.RequestFingerprint,
  ): callerPort.CallerPort {
    return new callerPort.CallerPort({
      http: this.options.platform.http,
      service: () => this.service,
      fingerprint,
      listener: {
        configuration: () => this.intent.configuration,
        onRequest: (request, route) => {
          this.noteOwnLoad();
          this.entry.onRequest(request, route, nowMs());
          this.afterEvent();
        },
        onCallerGone: id => {
          this.entry.onCallerGone(id, nowMs());
          this.afterEvent();
        },
        onRefused: (requestId, reason) =>
          this.options.telemetry.write({
            component: 'entry',
            event: 'refused-unread',
            importance: 'notable',
            requestId,
            facts: {reason, configuration: this.intent.configuration?.version},
          }),
      },
    });
  }

  /** The own gate's load is known exactly. */
  private noteOwnLoad(): void {
    const now = nowMs();
    const {nodeId} = this.directory.self;
    this.reports.onLoad(nodeId, this.gate.load(now), now);
  }

  private gatesOf(service: string): readonly placement.KnownGate[] {
    const {self, others} = this.directory;
    return [self, ...others]
      .filter(record => record.service === service)
      .map(({nodeId, dataCentre}) => ({
        nodeId,
        dataCentre,
        service,
        reachable: nodeId === self.nodeId || this.links.isUp(nodeId),
      }));
  }

  private dispatch(nodeId: string, dispatch: serving.Dispatch): void {
    if (nodeId !== this.directory.self.nodeId) {
      return this.links.dispatch(nodeId, dispatch);
    }
    this.health.onRequest();
    const key = this.ownKey(dispatch.call);
    this.gate.onCall({key, source: OWN_SOURCE, dispatch}, nowMs());
  }

  private withdraw(nodeId: string, attempt: number): void {
    if (nodeId !== this.directory.self.nodeId) {
      return this.links.withdraw(nodeId, attempt);
    }
    this.gate.onWithdraw(this.ownKey(attempt), nowMs());
  }

  private ownKey(attempt: number): string {
    return `own/${attempt}`;
  }

  private answer(source: number, answer: serving.Answer): void {
    if (source !== OWN_SOURCE) {
      return this.sessions.send(source, {$case: 'answer', value: answer});
    }
    this.entry.onAnswer(this.directory.self.nodeId, answer, nowMs());
  }

  private refuse(source: number, refusal: serving.Refusal): void {
    if (source !== OWN_SOURCE) {
      return this.sessions.send(source, {$case: 'refusal', value: refusal});
    }
    this.entry.onRefusal(this.directory.self.nodeId, refusal, nowMs());
  }

  private onPulse(nodeId: string, pulse: serving.Pulse): void {
    this.reports.onLoad(nodeId, pulse.load, nowMs());
    this.knowledge.onPeerOffset(nodeId, pulse.intentOffset - 1);
  }

  private onSuspect(suspect: serving.Suspect): void {
    if (!this.suspects.onReport(suspect, nowMs())) return;
    this.note('suspect-reported', {...suspect});
  }

  private onIntentChanged(): void {
    this.callers.applyLimits();
    this.gate.onIntent(nowMs());
    this.health.tick(nowMs());
    this.sessions.pulseNow();
    this.afterEvent();
  }

  private onClosureChanged(): void {
    this.noteOwnLoad();
    this.sessions.pulseNow();
  }

  private greeting(toNodeId: string): serving.Greeting {
    const {processStartedMs} = this.options;
    return {sender: this.directory.self, processStartedMs, toNodeId};
  }

  private pulse(): serving.Pulse {
    const load = this.gate.load(nowMs());
    return {load, intentOffset: this.knowledge.shiftedOffset};
  }

  private readiness(): smallServer.SmallResponse {
    const ready = this.intent.isKnown && this.stopping === undefined;
    return ready ? {status: OK, text: '{}'} : {status: UNAVAILABLE, text: '{}'};
  }

  private onServerMessage(
    req: smallServer.SmallRequest,
  ): smallServer.SmallResponse {
    const {method, target, body} = req;
    const message = this.options.platform.announcements.decode(
      method,
      target,
      body,
    );
    switch (message.kind) {
      case 'unknown':
        return {status: NOT_FOUND, text: '{}'};
      case 'malformed':
        this.note('announcement-refused', {detail: message.detail});
        return {status: BAD_REQUEST, text: '{}'};
      case 'deregistration': {
        const {instanceId, bornMs} = message;
        this.gate.onDeregistration(instanceId, bornMs, nowMs());
        this.afterEvent();
        return {status: OK, text: '{}'};
      }
      case 'announcement':
        return this.onAnnouncement(message);
    }
  }

  private onAnnouncement(
    message: Extract<dialect.ServerMessage, {readonly kind: 'announcement'}>,
  ): smallServer.SmallResponse {
    const {announcement: a, dataCentre} = message;
    const {settings} = this.options;
    const isOwn =
      a.service === this.service &&
      dataCentre === settings.dataCentre &&
      `${a.ip}:${a.port}` === this.serverAddress;
    if (!isOwn) {
      const {service, ip, port, instanceId} = a;
      const detail = 'names another server';
      this.note('announcement-refused', {
        detail,
        service,
        ip,
        port,
        instanceId,
      });
      return {status: CONFLICT, text: '{}'};
    }
    const change = this.gate.onAnnouncement(a, nowMs());
    this.afterEvent();
    return change === 'outdated' && a.state === 'ready'
      ? {status: CONFLICT, text: '{}'}
      : {status: OK, text: '{}'};
  }

  private serverAddress = '';

  private setServer(settings: generated.NodeSettings): void {
    if (settings.server === this.serverAddress) return;
    this.serverAddress = settings.server;
    const {ip, port} = address.parseAddress(settings.server);
    this.pool.setServer(ip, port);
    this.health.setServer(ip, port);
    this.gate.doubt();
  }

  private tick(): void {
    const now = nowMs();
    this.entry.tick(now);
    this.gate.tick(now);
    this.links.tick(now);
    this.sessions.tick(now);
    this.health.tick(now);
    this.arm(now + TICK_MS);
    this.afterEvent();
  }

  /** Sets the timer to the earliest time that a core waits for. */
  private afterEvent(): void {
    const now = nowMs();
    this.arm(Math.min(this.entry.nextWakeMs(), this.gate.nextWakeMs(now)));
  }

  private arm(dueMs: units.MonotonicMs): void {
    if (dueMs >= this.timerDueMs) return;
    clearTimeout(this.timer);
    this.timerDueMs = dueMs;
    const waitMs = Math.max(1, Math.ceil(dueMs - nowMs()));
    this.timer = setTimeout(() => {
      this.timerDueMs = Infinity;
      this.tick();
    }, waitMs);
  }

  private note(event: string, facts: decision.Facts): void {
    this.options.telemetry.write({
      component: 'node',
      event,
      importance: 'belief',
      facts,
    });
  }
}

function nowMs(): units.MonotonicMs {
  return performance.now();
}

function recordOf(settings: generated.NodeSettings): serving.NodeRecord {
  const {nodeId, dataCentre, service, listen} = settings;
  const {ip, port} = address.parseAddress(listen.peers);
  return {nodeId, dataCentre, service, ip, port};
}
