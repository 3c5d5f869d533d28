/** Faults of a soak run: chosen by seed, overlapping, each reverted after its duration. */
import * as randomSource from '../../src/common/random_source.js';
import * as platformFleet from '../paths/platform_fleet.js';
import * as documents from '../stand_ins/platform/documents.js';
import * as serverStandIn from '../stand_ins/platform/server_stand_in.js';
import * as brokenOffAudit from './broken_off_audit.js';
import * as soakStatements from './soak_statements.js';

/** Range of the duration of a fault. */
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 2_500;

/** Most faults of one run; some are skipped, see `injectOne`. */
const MAX_FAULTS = 12;

/** Time after an acknowledged `draining` in which requests may still arrive. */
const DRAIN_GRACE_MS = 2_000;

/** Time after an evacuation is written in which requests may still arrive. */
const EVACUATION_GRACE_MS = 5_000;

/** Longest time until operators write again what the store has lost. */
const MAX_REWRITE_DELAY_MS = 1_500;

const ALL_DATA_CENTRES = ['north', 'south', 'east'];

/** Share of the nodes with a fault at once; more could leave none to serve the callers. */
const MAX_ACTIVE_SHARE = 0.4;

/** Maximum length of a series of stops, reloads or configurations, and of the pauses in it. */
const MAX_SERIES = 4;
const MAX_SERIES_PAUSE_MS = 400;

type Fault = (node: platformFleet.FleetNode, forMs: number) => Promise<void>;

/** Injects faults and checks the guarantees that concern them. */
export class SoakFaults {
  readonly breaches: string[] = [];
  readonly injected: string[] = [];
  private readonly faultyNodes = new Set<string>();
  /** Evacuated data centres. */
  private readonly evacuated = new Set<string>();
  private active = 0;
  /** Changes of statements, which go on beside the faults of their nodes. */
  private readonly changes: Array<Promise<void>> = [];
  private version = 1;

  private readonly kinds: ReadonlyArray<readonly [string, Fault]> = [
    ['kill', (node, forMs) => this.restart(node, 'SIGKILL', forMs)],
    ['stop', (node, forMs) => this.restart(node, 'SIGTERM', forMs)],
    ['pause', (node, forMs) => this.pause(node, forMs)],
    ['stops in turn', (node, forMs) => this.restartInTurn(node, forMs)],
    ['reloads', node => this.reload(node)],
    ['configurations', () => this.changeConfiguration()],
    ['drain', (node, forMs) => this.drain(node, forMs)],
    ['limits', async node => this.stateLimits(node)],
    ['limits', async node => this.stateLimits(node)],
    ['leaving stated', async node => this.stateLeaving(node)],
    ['evacuate', (node, forMs) => this.evacuate(node, forMs)],
    ['reset links', async node => this.breakLinks(node, 'reset')],
    ['silence links', async node => this.breakLinks(node, 'silence')],
    ['delay links', (node, forMs) => this.impairLinks(node, forMs, 'delay')],
    [
      'cut links one way',
      (node, forMs) => this.impairLinks(node, forMs, 'drop'),
    ],
    ['refuse links', (node, forMs) => this.impairLinks(node, forMs, 'refuse')],
    ['store busy', (unusedNode, forMs) => this.failStore(forMs, 'busy')],
    ['store silent', (unusedNode, forMs) => this.failStore(forMs, 'silent')],
    [
      'answers lost',
      (node, forMs) => this.failServer(node, forMs, {kind: 'answer-lost'}),
    ],
    [
      'answers cut',
      (node, forMs) => this.failServer(node, forMs, {kind: 'cut'}),
    ],
    ['errors', (node, forMs) => this.failServer(node, forMs, {kind: 'error'})],
    ['hang', (node, forMs) => this.failServer(node, forMs, {kind: 'hang'})],
    [
      'endless head',
      (node, forMs) =>
        this.failServer(node, forMs, {kind: 'endless', part: 'head'}),
    ],
    [
      'endless body',
      (node, forMs) =>
        this.failServer(node, forMs, {kind: 'endless', part: 'body'}),
    ],
    ['store returns', (unusedNode, forMs) => this.returnStore(forMs)],
    ['silence all connections to the store', async () => this.silenceStore()],
    ['silence all links', async () => this.silenceAllLinks()],
    ['silence all connections', async () => this.silenceAll()],
  ];

  constructor(
    private readonly fleet: platformFleet.PlatformFleet,
    private readonly random: randomSource.RandomSource,
    private readonly statements: soakStatements.SoakStatements,
    private readonly audit: brokenOffAudit.BrokenOffAudit,
  ) {}

  /** Injects faults for `lengthMs`; resolves when all have been reverted. */
  async run(lengthMs: number): Promise<void> {
    const running: Array<Promise<void>> = [];
    const count = 1 + this.random.nextInt(MAX_FAULTS);
    const starts = Array.from({length: count}, () =>
      this.random.nextInt(lengthMs - MAX_FAULT_MS),
    ).sort((a, b) => a - b);
    const startedMs = performance.now();
    for (const atMs of starts) {
      await wait(startedMs + atMs - performance.now());
      running.push(this.injectOne());
    }
    await wait(startedMs + lengthMs - performance.now());
    await Promise.all(running);
    await Promise.all(this.changes);
  }

  private async injectOne(): Promise<void> {
    const {nodes} = this.fleet;
    const node = nodes[this.random.nextInt(nodes.length)];
    const kinds = [...this.kinds, ...this.serverSilences()];
    const [name, fault] = kinds[this.random.nextInt(kinds.length)];
    const forMs =
      MIN_FAULT_MS + this.random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS);
    if (this.faultyNodes.has(node.name) || this.isExhausted) return;
    this.injected.push(`${name} at ${node.name} for ${forMs} ms`);
    await this.withFault(node, () => fault(node, forMs));
  }

  /** Runs a fault and keeps other faults from its node meanwhile. */
  private async withFault(
    node: platformFleet.FleetNode,
    fault: () => Promise<void>,
  ): Promise<void> {
    this.faultyNodes.add(node.name);
    this.active++;
    try {
      await fault();
    } finally {
      this.active--;
      this.faultyNodes.delete(node.name);
    }
  }

  /** Whether so many nodes have a fault that no other may get one. */
  private get isExhausted(): boolean {
    return this.active >= MAX_ACTIVE_SHARE * this.fleet.nodes.length;
  }

  /** Restarts nodes one after the other; the next one stops before the last is back. */
  private async restartInTurn(
    node: platformFleet.FleetNode,
    forMs: number,
  ): Promise<void> {
    const restarts = [this.restart(node, 'SIGTERM', forMs)];
    for (let i = 1; i < MAX_SERIES; i++) {
      await this.pauseInSeries();
      const next = this.fleet.nodes.find(n => !this.faultyNodes.has(n.name));
      if (next === undefined || this.isExhausted) break;
      restarts.push(
        this.withFault(next, () => this.restart(next, 'SIGTERM', forMs)),
      );
    }
    await Promise.all(restarts);
  }

  private async reload(node: platformFleet.FleetNode): Promise<void> {
    for (let i = 0; i < MAX_SERIES; i++) {
      this.audit.note('reload', node.name);
      node.process.signal('SIGHUP');
      await this.pauseInSeries();
    }
  }

  /** Writes newer configurations that allow the same requests and add a route each. */
  private async changeConfiguration(): Promise<void> {
    for (let i = 0; i < MAX_SERIES; i++) {
      this.version++;
      this.audit.note('configuration');
      this.fleet.store.put('keyed.op', 'config', this.configuration());
      await this.pauseInSeries();
    }
  }

  /** The newest configuration that was written. */
  private configuration(): object {
    const {version} = this;
    if (version === 1) return documents.configuration(version);
    const {routes} = documents.configuration(1) as {
      readonly routes: readonly object[];
    };
    const added = documents.addedRoute(`added${version}`);
    return documents.configuration(version, {routes: [...routes, added]});
  }

  private pauseInSeries(): Promise<void> {
    return wait(this.random.nextInt(MAX_SERIES_PAUSE_MS));
  }

  private async restart(
    node: platformFleet.FleetNode,
    signal: 'SIGKILL' | 'SIGTERM',
    forMs: number,
  ): Promise<void> {
    this.statements.audit.onDisrupted(node.name, 'restart');
    const kind = signal === 'SIGKILL' ? 'kill' : 'stop';
    const disturbance = this.audit.begin(kind, node.name);
    node.process.signal(signal);
    const status = await node.process.exitStatus();
    if (kind === 'stop') this.audit.end(disturbance);
    if (signal === 'SIGTERM' && status !== 0) {
      this.breaches.push(`${node.name}: ended with ${status} after a stop`);
    }
    await wait(forMs);
    this.statements.audit.onDisrupted(node.name, 'restart');
    await this.fleet.restart(node);
    if (kind === 'kill') this.audit.end(disturbance);
  }

  private async pause(
    node: platformFleet.FleetNode,
    forMs: number,
  ): Promise<void> {
    const {audit} = this.statements;
    audit.onDisrupted(node.name, 'freeze');
    const disturbance = this.audit.begin('pause', node.name);
    node.process.signal('SIGSTOP');
    await wait(forMs);
    node.process.signal('SIGCONT');
    this.audit.end(disturbance);
    audit.onDisrupted(node.name, 'freeze');
  }

  private stateLimits({server}: platformFleet.FleetNode): void {
    const {statements} = this;
    this.changes.push(statements.nameLimits(server));
  }

  private stateLeaving({server}: platformFleet.FleetNode): void {
    const {statements} = this;
    this.changes.push(
      statements.endIncarnation(server, () => statements.leave(server)),
    );
  }

  private breakLinks(
    {name, relay}: platformFleet.FleetNode,
    how: 'reset' | 'silence',
  ): void {
    this.statements.audit.onDisrupted(name, 'cut');
    this.audit.note('links', name);
    relay[how]();
  }

  /** Silences what is open to the store for good; new connections work. */
  private silenceStore(): void {
    for (const {storeRelay} of this.fleet.nodes) storeRelay.silence();
  }

  private silenceAllLinks(): void {
    for (const node of this.fleet.nodes) this.breakLinks(node, 'silence');
  }

  private silenceAll(): void {
    this.silenceStore();
    this.silenceAllLinks();
  }

  /** Kinds of faults for fleets that relay the connections to backend servers. */
  private serverSilences(): ReadonlyArray<readonly [string, Fault]> {
    const relaysServers = this.fleet.nodes.some(
      ({serverRelay}) => serverRelay !== undefined,
    );
    if (!relaysServers) return [];
    return [
      [
        'silence connections to the server',
        async node => this.silenceServer(node),
      ],
      ['silence connections to all servers', async () => this.silenceServers()],
      [
        'silence all connections, also to servers',
        async () => {
          this.silenceAll();
          this.silenceServers();
        },
      ],
    ];
  }

  /** Silences what is open to a backend server for good; new connections work. */
  private silenceServer({name, serverRelay}: platformFleet.FleetNode): void {
    this.audit.note('server', name);
    serverRelay?.silence();
  }

  private silenceServers(): void {
    for (const node of this.fleet.nodes) this.silenceServer(node);
  }

  /** Drains the server unless it leaves already. */
  private async drain(
    node: platformFleet.FleetNode,
    forMs: number,
  ): Promise<void> {
    await this.statements.endIncarnation(node.server, () =>
      this.drainAndReplace(node, forMs),
    );
  }

  /** Drains the server, then replaces it by a new incarnation at the same address. */
  private async drainAndReplace(
    node: platformFleet.FleetNode,
    forMs: number,
  ): Promise<void> {
    const {server, control, name} = node;
    const status = await server
      .announce(control, 'draining')
      .catch(() => undefined);
    if (status !== 200) return;
    await wait(DRAIN_GRACE_MS);
    const before = server.runs.length;
    await wait(forMs);
    const late = server.runs.length - before;
    if (late > 0) this.breaches.push(`${name}: ${late} runs after leaving`);
    // Runs of the incarnation that ends are its own concern.
    this.audit.note('server', name);
    this.statements.replace(server);
  }

  private async evacuate(
    node: platformFleet.FleetNode,
    forMs: number,
  ): Promise<void> {
    const {dataCentre} = node.server;
    // The end of one evacuation would also end an overlapping one of the same data centre.
    if (this.evacuated.has(dataCentre)) return;
    this.evacuated.add(dataCentre);
    const key = `evacuate/${dataCentre}`;
    this.fleet.store.put('keyed.op', key, {});
    await wait(EVACUATION_GRACE_MS);
    const ran = (): number =>
      this.fleet.nodes
        .filter(({server}) => server.dataCentre === dataCentre)
        .reduce((sum, {server}) => sum + server.runs.length, 0);
    const before = ran();
    await wait(forMs);
    const late = ran() - before;
    if (late > 0) this.breaches.push(`${dataCentre}: ${late} runs while out`);
    this.fleet.store.put('keyed.op', key, undefined);
    this.evacuated.delete(dataCentre);
  }

  private async impairLinks(
    node: platformFleet.FleetNode,
    forMs: number,
    kind: 'delay' | 'drop' | 'refuse',
  ): Promise<void> {
    const {relay} = node;
    const direction = this.random.next() < 0.5 ? 'forward' : 'reverse';
    const modes = {
      delay: {kind: 'delay', delayMs: 20 + this.random.nextInt(180)},
      drop: {kind: 'drop', direction},
      refuse: {kind: 'refuse'},
    } as const;
    this.statements.audit.onDisrupted(node.name, 'cut');
    const disturbance = this.audit.begin('links', node.name);
    relay.mode = modes[kind];
    if (kind === 'refuse') relay.reset();
    await wait(forMs);
    relay.mode = {kind: 'pass'};
    this.audit.end(disturbance);
    this.statements.audit.onDisrupted(node.name, 'cut');
  }

  private async failStore(
    forMs: number,
    kind: 'busy' | 'silent',
  ): Promise<void> {
    this.fleet.store.mode = {kind};
    await wait(forMs);
    this.fleet.store.mode = {kind: 'up'};
  }

  /** Returns the store from an older copy; operators write again what was lost. */
  private async returnStore(forMs: number): Promise<void> {
    const {store} = this.fleet;
    const copy = store.copy();
    await wait(forMs);
    store.returnFrom(copy);
    await wait(this.random.nextInt(MAX_REWRITE_DELAY_MS));
    for (const dataCentre of ALL_DATA_CENTRES) {
      const value = this.evacuated.has(dataCentre) ? {} : undefined;
      store.put('keyed.op', `evacuate/${dataCentre}`, value);
    }
    store.put('keyed.op', 'config', this.configuration());
  }

  private async failServer(
    {name, server}: platformFleet.FleetNode,
    forMs: number,
    mode: serverStandIn.ServerMode,
  ): Promise<void> {
    const before = server.mode;
    const disturbance = this.audit.begin('server', name);
    server.mode = mode;
    await wait(forMs);
    server.mode = before;
    this.audit.end(disturbance);
  }
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
}
