/** Composes a node for the users' platform; disposing it tears everything down. */
import * as crashSuspects from '../../common/serving/crash_suspects.js';
import * as decision from '../../common/serving/decision.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as randomSource from '../../common/random_source.js';
import * as units from '../../common/units.js';
import * as generated from '../../generated/node_settings.js';
import * as serving from '../../generated/serving.js';
import * as clock from '../clock.js';
import * as requestFingerprint from '../request_fingerprint.js';
import * as resourceStack from '../resource_stack.js';
import * as address from './address.js';
import * as dialect from './dialect.js';
import * as entrySide from './entry_side.js';
import * as fleetDirectory from './fleet_directory.js';
import * as fleetRegistry from './fleet_registry.js';
import * as fleetKnowledge from './fleet_knowledge.js';
import * as gateSide from './gate_side.js';
import * as nodeStop from './node_stop.js';
import * as serverMessages from './server_messages.js';
import * as smallServer from './small_server.js';
import * as storeReaders from './store_readers.js';
import * as telemetry from './telemetry.js';

/** Interval of the work that no event triggers. */
const TICK_MS: units.Millis = 50;

const OK = 200;
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
  private readonly random: randomSource.SeededRandom;
  private readonly directory: fleetDirectory.FleetDirectory;
  private readonly knowledge: fleetKnowledge.FleetKnowledge;
  private readonly readers: storeReaders.StoreReaders;
  private readonly gates: gateSide.GateSide;
  private readonly entries: entrySide.EntrySide;
  private readonly resources = new resourceStack.ResourceStack();
  private settings: generated.NodeSettings;
  private timer: NodeJS.Timeout | undefined;
  private timerDueMs = Infinity;
  private stopping: nodeStop.NodeStop | undefined;

  private constructor(
    private readonly options: ServingNodeOptions,
    fingerprint: requestFingerprint.RequestFingerprint,
  ) {
    const {settings} = options;
    const use = this.resources.use.bind(this.resources);
    this.settings = settings;
    this.random = new randomSource.SeededRandom(options.processStartedMs | 0);
    this.directory = use(new fleetDirectory.FleetDirectory(recordOf(settings)));
    this.knowledge = this.makeKnowledge();
    this.readers = use(this.makeStoreReaders());
    this.gates = use(this.makeGateSide());
    this.entries = use(this.makeEntrySide(fingerprint));
    this.gates.setServer(address.parseAddress(settings.server));
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
    const {service, server} = settings;
    if (server !== this.settings.server) {
      this.gates.setServer(address.parseAddress(server));
    }
    this.settings = settings;
    this.directory.setSelf(recordOf(settings));
    this.note('reload', {service, server});
  }

  /** Finishes what is under way; resolves when the process may end. */
  stop(): Promise<void> {
    const {callers} = this.entries;
    const {gate} = this.gates;
    this.stopping ??= new nodeStop.NodeStop({
      stopMs: this.options.platform.bounds.stopMs,
      begin: () => {
        gate.stop(clock.monotonicMs());
        this.afterEvent();
      },
      announceClosing: () => callers.announceClosing(),
      refuseNew: () => callers.refuseNew(),
      unfinished: () => callers.inProgress + gate.unanswered,
    });
    return this.stopping.finished;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this.timer);
    this.timerDueMs = -Infinity;
    await this.resources[Symbol.asyncDispose]();
  }

  private async open(): Promise<void> {
    const {listen} = this.settings;
    const {platform, telemetry: log} = this.options;
    const messages = new serverMessages.ServerMessages({
      decoder: platform.announcements,
      gate: this.gates.gate,
      log,
      ownServer: () => this.ownServer(),
      afterEvent: () => this.afterEvent(),
    });
    await Promise.all([
      this.serve(listen.readiness, () => this.readiness()),
      this.serve(listen.announcements, req => messages.handle(req)),
      this.serve(listen.metrics, () => this.metrics()),
      this.gates.listen(address.parseAddress(listen.peers)),
      this.entries.callers.listen(address.parseAddress(listen.callers)),
    ]);
    this.readers.start();
    this.resources.use(this.makeRegistry()).start();
    this.arm(clock.monotonicMs() + TICK_MS);
  }

  private async serve(
    at: string | undefined,
    handler: smallServer.SmallHandler,
  ): Promise<void> {
    if (at === undefined) return;
    const server = this.resources.use(new smallServer.SmallServer(handler));
    await server.listen(address.parseAddress(at));
  }

  private makeStoreReaders(): storeReaders.StoreReaders {
    const {platform, telemetry: log} = this.options;
    const {knowledge, directory, random} = this;
    return new storeReaders.StoreReaders({
      store: platform.store,
      knowledge,
      directory,
      random,
      log,
      readsStore: nodeId => this.entries.readsStore(nodeId),
      knownOffset: () => this.intent.offset,
      onReadsStore: () => this.gates.pulseNow(),
    });
  }

  private makeRegistry(): fleetRegistry.FleetRegistry {
    const {platform, telemetry: log} = this.options;
    return new fleetRegistry.FleetRegistry({
      store: platform.store,
      directory: this.directory,
      log,
      random: () => this.random.next(),
    });
  }

  private makeKnowledge(): fleetKnowledge.FleetKnowledge {
    const {platform, telemetry: log} = this.options;
    return new fleetKnowledge.FleetKnowledge({
      intent: this.intent,
      suspects: this.suspects,
      directory: this.directory,
      decoder: platform.intent,
      log,
      nowMs: clock.monotonicMs,
      onIntentChanged: () => this.onIntentChanged(),
      isReader: () => this.readers.isReader,
      requestState: nodeId => this.entries.links.requestState(nodeId),
    });
  }

  private makeGateSide(): gateSide.GateSide {
    return new gateSide.GateSide({
      ...this.shared(),
      suspects: this.suspects,
      coldRateFactor: this.options.platform.bounds.coldRateFactor,
      startedEpochMs: this.options.processStartedMs,
      readsStore: () => this.readers.readsStore,
      onSignOfLife: nodeId => this.entries.links.wake(nodeId),
      ownEntry: {
        onAnswer: answer => this.entries.onOwnAnswer(answer),
        onRefusal: refusal => this.entries.onOwnRefusal(refusal),
      },
    });
  }

  private makeEntrySide(
    fingerprint: requestFingerprint.RequestFingerprint,
  ): entrySide.EntrySide {
    return new entrySide.EntrySide({
      ...this.shared(),
      bounds: this.options.platform.bounds,
      fingerprint,
      onSuspect: suspect => this.onSuspect(suspect),
      ownGate: {
        dispatch: dispatch => this.gates.dispatchOwn(dispatch),
        withdraw: call => this.gates.withdrawOwn(call),
        load: () => this.gates.gate.load(clock.monotonicMs()),
      },
    });
  }

  /** What both sides are made with. */
  private shared() {
    const {platform, telemetry: log, settings} = this.options;
    return {
      service: () => this.settings.service,
      dataCentre: settings.dataCentre,
      http: platform.http,
      intent: this.intent,
      directory: this.directory,
      knowledge: () => this.knowledge,
      random: this.random,
      log,
      greeting: (toNodeId: string): serving.Greeting => ({
        sender: this.directory.self,
        processStartedMs: this.options.processStartedMs,
        toNodeId,
      }),
      afterEvent: () => this.afterEvent(),
    };
  }

  private onSuspect(suspect: serving.Suspect): void {
    const now = clock.monotonicMs();
    if (!this.suspects.onReport(suspect, now)) return;
    this.note('suspect-reported', {...suspect});
  }

  private onIntentChanged(): void {
    this.entries.callers.applyLimits();
    this.gates.onIntentChanged(clock.monotonicMs());
    this.afterEvent();
  }

  private readiness(): smallServer.SmallResponse {
    const ready = this.intent.isKnown && this.stopping === undefined;
    return {status: ready ? OK : UNAVAILABLE, text: '{}'};
  }

  private async metrics(): Promise<smallServer.SmallResponse> {
    const {telemetry: series} = this.options;
    const text = await series.text();
    return {status: OK, contentType: series.contentType, text};
  }

  private ownServer(): serverMessages.OwnServer {
    const {service, dataCentre, server} = this.settings;
    return {service, dataCentre, address: server};
  }

  private tick(): void {
    const now = clock.monotonicMs();
    this.entries.tick(now);
    this.gates.tick(now);
    this.knowledge.tick();
    this.arm(now + TICK_MS);
    this.afterEvent();
  }

  /** Sets the timer to the earliest time that a core waits for. */
  private afterEvent(): void {
    const gateMs = this.gates.gate.nextWakeMs(clock.monotonicMs());
    this.arm(Math.min(this.entries.nextWakeMs(), gateMs));
  }

  private arm(dueMs: units.MonotonicMs): void {
    if (dueMs >= this.timerDueMs) return;
    clearTimeout(this.timer);
    this.timerDueMs = dueMs;
    const waitMs = Math.max(1, Math.ceil(dueMs - clock.monotonicMs()));
    this.timer = setTimeout(() => {
      this.timerDueMs = Infinity;
      this.tick();
    }, waitMs);
  }

  private note(event: string, facts: decision.Facts): void {
    decision.noteBelief(this.options.telemetry, 'node', event, facts);
  }
}

function recordOf(settings: generated.NodeSettings): serving.NodeRecord {
  const {nodeId, dataCentre, service, listen} = settings;
  const at = listen.advertised ?? listen.peers;
  const {ip, port} = address.parseAddress(at);
  return {nodeId, dataCentre, service, ip, port};
}
