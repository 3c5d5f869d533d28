/** A node for the users' platform, composed of its parts. */
import * as crashSuspects from '../../common/serving/crash_suspects.js';
import * as decision from '../../common/serving/decision.js';
import * as decider from '../../common/rollouts/decider.js';
import * as rolloutsModule from '../../common/rollouts/rollouts.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as randomSource from '../../common/random_source.js';
import * as units from '../../common/units.js';
import * as generated from '../../generated/node_settings.js';
import * as serving from '../../generated/serving.js';
import * as clock from '../clock.js';
import * as descriptorLimit from '../descriptor_limit.js';
import * as requestFingerprint from '../request_fingerprint.js';
import * as resourceStack from '../resource_stack.js';
import * as address from './address.js';
import * as platformAdapter from './platform_adapter.js';
import * as entryRuntime from './entry_runtime.js';
import * as fleetDirectory from './fleet_directory.js';
import * as fleetRegistry from './fleet_registry.js';
import * as fleetSync from './fleet_sync.js';
import * as keyAdmission from './key_admission.js';
import * as gateRuntime from './gate_runtime.js';
import * as ignoredRecords from './ignored_records.js';
import * as messageAge from './message_age.js';
import * as nodePorts from './node_ports.js';
import * as nodeRecord from './node_record.js';
import * as nodeStop from './node_stop.js';
import * as rolloutStatusWriter from './rollout_status_writer.js';
import * as serverMessageHandler from './server_message_handler.js';
import * as simpleHttpServer from './simple_http_server.js';
import * as storeReaders from './store_readers.js';
import * as telemetry from './telemetry.js';
import * as wakeTimer from './wake_timer.js';

/** Longest interval between runs of the timers. */
export const MAX_TICK_INTERVAL_MS: units.Millis = 50;

const OK = 200;
const UNAVAILABLE = 503;

/** Settings and dependencies of `ServingNode`. */
export interface ServingNodeOptions {
  readonly settings: generated.NodeSettings;
  readonly platform: platformAdapter.Platform;
  readonly telemetry: telemetry.Telemetry;
  readonly processStartedMs: units.EpochMs;
}

/** A running node; disposing it closes all ports and connections. */
export class ServingNode implements AsyncDisposable {
  private readonly intent = new operatorIntent.OperatorIntent();
  private readonly suspects = new crashSuspects.CrashSuspects();
  private readonly random: randomSource.SeededRandom;
  private readonly directory: fleetDirectory.FleetDirectory;
  private readonly fleetSync: fleetSync.FleetSync;
  private readonly keys: keyAdmission.KeyAdmission;
  private readonly storeReaders: storeReaders.StoreReaders;
  private readonly registry: fleetRegistry.FleetRegistry;
  private readonly gateRuntime: gateRuntime.GateRuntime;
  private readonly entryRuntime: entryRuntime.EntryRuntime;
  private readonly messageAge = new messageAge.MessageAge({
    intervalMs: MAX_TICK_INTERVAL_MS,
    onResumed: pausedMs => this.onResumed(pausedMs),
  });
  private readonly rollouts: rolloutsModule.Rollouts;
  private readonly statusWriter: rolloutStatusWriter.RolloutStatusWriter;
  private readonly ports: nodePorts.NodePorts;
  private readonly resources = new resourceStack.ResourceStack();
  private readonly bounds: descriptorLimit.ConnectionBounds;
  private settings: generated.NodeSettings;
  private readonly wakeTimer = new wakeTimer.WakeTimer({
    nowMs: clock.monotonicMs,
    onWake: () => this.tick(),
  });
  private stopping: nodeStop.NodeStop | undefined;

  private constructor(
    private readonly options: ServingNodeOptions,
    fingerprint: requestFingerprint.RequestFingerprint,
  ) {
    const {settings} = options;
    const use = this.resources.use.bind(this.resources);
    this.settings = settings;
    this.bounds = descriptorLimit.connectionBounds(settings.maxDescriptors);
    this.random = new randomSource.SeededRandom(
      randomSource.seedOf(settings.nodeId, options.processStartedMs),
    );
    this.directory = use(
      new fleetDirectory.FleetDirectory(nodeRecord.ofSettings(settings)),
    );
    const ignored = new ignoredRecords.IgnoredRecords(options.telemetry);
    this.directory.onIgnored(({key, err}) => ignored.note(key, err));
    this.fleetSync = this.makeFleetSync();
    this.keys = this.makeKeyAdmission();
    this.rollouts = this.makeRollouts();
    this.storeReaders = use(this.makeStoreReaders());
    this.registry = use(this.makeRegistry());
    this.gateRuntime = use(this.makeGateRuntime());
    this.entryRuntime = use(this.makeEntryRuntime(fingerprint));
    this.statusWriter = use(this.makeStatusWriter());
    this.ports = use(this.makePorts());
    this.gateRuntime.setServer(address.parseAddress(settings.server));
  }

  /** Makes a node that is not open yet; disposing it while it opens ends that at once. */
  static async create(options: ServingNodeOptions): Promise<ServingNode> {
    const fingerprint = await requestFingerprint.RequestFingerprint.load();
    return new ServingNode(options, fingerprint);
  }

  /**
   * Makes a node and opens it.
   *
   * @throws errors.GeraniumloftError if a port cannot be opened.
   */
  static async start(options: ServingNodeOptions): Promise<ServingNode> {
    const node = await ServingNode.create(options);
    try {
      await node.open();
      return node;
    } catch (err) {
      await node[Symbol.asyncDispose]();
      throw err;
    }
  }

  /**
   * Opens the ports and begins to serve; resolves once all ports but that of the metrics are open.
   *
   * @throws errors.GeraniumloftError if a port stays taken, cannot be opened, or the node was
   *     disposed meanwhile.
   */
  async open(): Promise<void> {
    // From here on, as a wait for a port is no pause of the process.
    this.messageAge.observe(clock.monotonicMs());
    this.wakeTimer.schedule(clock.monotonicMs() + MAX_TICK_INTERVAL_MS);
    await this.ports.open();
    this.storeReaders.start();
    this.registry.start();
    this.statusWriter.start();
  }

  /** Applies settings that changed while the node runs; open ports stay as they are. */
  reload(settings: generated.NodeSettings): void {
    const {service, server} = settings;
    if (server !== this.settings.server) {
      this.gateRuntime.setServer(address.parseAddress(server));
    }
    this.settings = settings;
    this.directory.setSelf(nodeRecord.ofSettings(settings));
    this.note('reload', {service, server});
  }

  /** Runs a planned stop; resolves when all requests are finished or its time limit has passed. */
  stop(): Promise<void> {
    this.stopping ??= new nodeStop.NodeStop({
      stopMs: this.options.platform.bounds.stopMs,
      begin: () => {
        this.gateRuntime.gate.stop(clock.monotonicMs());
        this.afterEvent();
      },
      entry: this.entryRuntime,
      gate: this.gateRuntime,
    });
    return this.stopping.finished;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.wakeTimer[Symbol.dispose]();
    await this.resources[Symbol.asyncDispose]();
  }

  private makePorts(): nodePorts.NodePorts {
    const {platform, telemetry: log, settings} = this.options;
    const messages = new serverMessageHandler.ServerMessageHandler({
      decoder: platform.announcements,
      gate: this.gateRuntime.gate,
      log,
      localServer: () => serverMessageHandler.localServerOf(this.settings),
      afterEvent: () => this.afterEvent(),
    });
    return new nodePorts.NodePorts({
      listen: settings.listen,
      maxConnections: this.bounds.local,
      log,
      callers: at => this.entryRuntime.callers.listen(at),
      peers: at => this.gateRuntime.listen(at),
      announcements: req => messages.handle(req),
      readiness: () => this.readiness(),
      metrics: () => this.metrics(),
    });
  }

  private makeKeyAdmission(): keyAdmission.KeyAdmission {
    const {platform, telemetry: log} = this.options;
    return new keyAdmission.KeyAdmission({
      boundMs: platform.bounds.revokeMs,
      intent: this.intent,
      directory: this.directory,
      log,
      now: clock.consistentNow,
      readsOften: () => this.storeReaders.readsOften,
      readsStore: nodeId => this.entryRuntime.readsStore(nodeId),
      requestFreshness: (nodeId, question) =>
        this.entryRuntime.links.requestFreshness(nodeId, question),
    });
  }

  private makeStoreReaders(): storeReaders.StoreReaders {
    const {platform, telemetry: log} = this.options;
    const {fleetSync, directory, random} = this;
    return new storeReaders.StoreReaders({
      store: platform.store,
      fleetSync,
      directory,
      random,
      log,
      proofs: this.keys,
      bounds: platform.bounds.intent,
      readsStore: nodeId => this.entryRuntime.readsStore(nodeId),
      isLinked: nodeId => this.entryRuntime.links.isUp(nodeId),
      knownPosition: () => this.intent.position,
      onReadsStoreChanged: () => this.gateRuntime.pulseAll(),
    });
  }

  private makeRollouts(): rolloutsModule.Rollouts {
    const {platform, telemetry: log, processStartedMs, settings} = this.options;
    const {nodeId, dataCentre} = settings;
    return new rolloutsModule.Rollouts({
      orders: this.intent.rollouts,
      bounds: platform.bounds.rollout,
      nodeId,
      dataCentre,
      processStartedMs,
      random: this.random,
      log,
      service: () => this.settings.service,
      version: () => this.gateRuntime.gate.version,
      gate: () =>
        rolloutsModule.gateStateOf(
          this.gateRuntime.gate.load(clock.monotonicMs()),
        ),
      authority: () => ({
        decides: this.decides,
        readsStore: this.storeReaders.readsStore && this.statusWriter.hasRead,
      }),
      knownGates: name => this.gatesOf(name, () => true),
      linkedGates: name =>
        this.gatesOf(name, id => this.entryRuntime.links.isUp(id)),
      onChanged: () => this.onRolloutChanged(),
    });
  }

  private makeStatusWriter(): rolloutStatusWriter.RolloutStatusWriter {
    const {platform, telemetry: log} = this.options;
    return new rolloutStatusWriter.RolloutStatusWriter({
      store: platform.store,
      codec: platform.rolloutStatus,
      rollouts: this.rollouts,
      log,
      isWriter: () => this.decides && this.storeReaders.readsStore,
      era: () => this.intent.position.era,
      nowMs: clock.monotonicMs,
      random: () => this.random.next(),
    });
  }

  /** Whether this node decides on roll-outs. */
  private get decides(): boolean {
    const {self, others} = this.directory;
    const {links} = this.entryRuntime;
    const peers = others
      .map(({nodeId}) => nodeId)
      .filter(nodeId => links.isUp(nodeId));
    return decider.isDecider(self.nodeId, {
      peers,
      readers: peers.filter(nodeId => this.entryRuntime.readsStore(nodeId)),
      readsStore: this.storeReaders.readsStore,
    });
  }

  /** Ids of the nodes of a service, this one included, that fulfil a condition. */
  private gatesOf(
    service: string,
    isIncluded: (nodeId: string) => boolean,
  ): readonly string[] {
    const {self, others} = this.directory;
    const peers = others.filter(({nodeId}) => isIncluded(nodeId));
    return [self, ...peers]
      .filter(record => record.service === service)
      .map(({nodeId}) => nodeId);
  }

  private makeRegistry(): fleetRegistry.FleetRegistry {
    const {platform, telemetry: log} = this.options;
    return new fleetRegistry.FleetRegistry({
      store: platform.store,
      directory: this.directory,
      log,
      random: () => this.random.next(),
      onRead: () => this.entryRuntime.quotas.onListRead(),
    });
  }

  private makeFleetSync(): fleetSync.FleetSync {
    const {platform, telemetry: log} = this.options;
    return new fleetSync.FleetSync({
      intent: this.intent,
      suspects: this.suspects,
      directory: this.directory,
      decoder: platform.intent,
      log,
      nowMs: clock.monotonicMs,
      onIntentChanged: () => this.onIntentChanged(),
      isReader: () => this.storeReaders.isReader,
      requestState: nodeId => this.entryRuntime.links.requestState(nodeId),
    });
  }

  private makeGateRuntime(): gateRuntime.GateRuntime {
    const {processStartedMs, platform} = this.options;
    return new gateRuntime.GateRuntime({
      ...this.sharedOptions(),
      suspects: this.suspects,
      rollouts: this.rollouts,
      maxGreetings: this.bounds.greetings,
      coldRateFactor: platform.bounds.coldRateFactor,
      intentBounds: platform.bounds.intent,
      soleSenderSinceMs: processStartedMs - platform.bounds.restartGapMs,
      readsStore: () => this.storeReaders.readsStore,
      freshness: question => this.keys.answer(question),
      isEntryUp: entryProcess =>
        this.entryRuntime.links.isProcessUp(entryProcess),
      onPeerGreeting: nodeId => this.entryRuntime.links.reconnectNow(nodeId),
      onTokenRequest: request =>
        this.entryRuntime.quotas.onTokenRequest(request),
      localEntry: {
        onAnswer: answer => this.entryRuntime.onLocalAnswer(answer),
        onRefusal: refusal => this.entryRuntime.onLocalRefusal(refusal),
      },
    });
  }

  private makeEntryRuntime(
    fingerprint: requestFingerprint.RequestFingerprint,
  ): entryRuntime.EntryRuntime {
    return new entryRuntime.EntryRuntime({
      ...this.sharedOptions(),
      bounds: this.options.platform.bounds,
      maxConnections: this.bounds.callers,
      rollouts: this.rollouts,
      fingerprint,
      keys: this.keys,
      onSuspect: suspect => this.onSuspect(suspect),
      onNotice: notice => this.gateRuntime.onNotice(notice),
      localGate: {
        dispatch: dispatch => this.gateRuntime.dispatchLocal(dispatch),
        withdraw: call => this.gateRuntime.withdrawLocal(call),
        load: () => this.gateRuntime.gate.load(clock.monotonicMs()),
      },
    });
  }

  /** Options that the entry and the gate have in common. */
  private sharedOptions() {
    const {platform, telemetry: log, settings} = this.options;
    return {
      service: () => this.settings.service,
      dataCentre: settings.dataCentre,
      memoryMb: settings.memoryMb,
      http: platform.http,
      intent: this.intent,
      directory: this.directory,
      fleetSync: () => this.fleetSync,
      random: this.random,
      log,
      greeting: (toNodeId: string): serving.Greeting => ({
        sender: this.directory.self,
        processStartedMs: this.options.processStartedMs,
        toNodeId,
        acceptsParts: true,
        notice: this.entryRuntime.noticeOf(toNodeId),
      }),
      waitedMs: () => this.messageAge.waitedMs(),
      afterEvent: () => this.afterEvent(),
    };
  }

  private onSuspect(suspect: serving.Suspect): void {
    const now = clock.monotonicMs();
    if (!this.suspects.onReport(suspect, now)) return;
    this.note('suspect-reported', {...suspect});
  }

  private onIntentChanged(): void {
    this.registry.onEra(this.intent.position.era);
    this.entryRuntime.callers.applyLimits();
    this.entryRuntime.quotas.onIntentChanged();
    this.rollouts.onOrders(clock.monotonicMs());
    this.gateRuntime.onIntentChanged(clock.monotonicMs());
    this.afterEvent();
  }

  /** Closes or opens the gate as the roll-out asks, and tells the other nodes. */
  private onRolloutChanged(): void {
    this.gateRuntime.onIntentChanged(clock.monotonicMs());
    this.afterEvent();
  }

  private readiness(): simpleHttpServer.SimpleResponse {
    const {intent, ports, stopping} = this;
    const ready = ports.isOpen && intent.isKnown && stopping === undefined;
    return {status: ready ? OK : UNAVAILABLE, text: '{}'};
  }

  private async metrics(): Promise<simpleHttpServer.SimpleResponse> {
    const {telemetry: metrics} = this.options;
    metrics.setProofAge(this.keys.ageMs());
    const text = await metrics.text();
    return {status: OK, contentType: metrics.contentType, text};
  }

  private onResumed(pausedMs: units.Millis): void {
    this.note('resumed', {pausedMs: Math.round(pausedMs)});
    this.entryRuntime.quotas.onResumed();
    this.gateRuntime.onResumed(pausedMs);
  }

  private tick(): void {
    const now = clock.monotonicMs();
    this.messageAge.observe(now);
    if (this.messageAge.hasUnread) {
      // Answers that came in time must be read before their requests time out.
      setImmediate(() => this.tick());
      return;
    }
    this.entryRuntime.tick(now);
    this.gateRuntime.tick(now);
    this.fleetSync.tick();
    this.keys.tick();
    this.storeReaders.tick();
    this.rollouts.tick(now);
    this.wakeTimer.schedule(now + MAX_TICK_INTERVAL_MS);
    this.afterEvent();
  }

  /** Schedules the next tick for the earliest timer of the entry and the gate. */
  private afterEvent(): void {
    const gateMs = this.gateRuntime.gate.nextWakeMs(clock.monotonicMs());
    this.wakeTimer.schedule(Math.min(this.entryRuntime.nextWakeMs(), gateMs));
  }

  private note(event: string, facts: decision.Facts): void {
    decision.noteStateChange(this.options.telemetry, 'node', event, facts);
  }
}
