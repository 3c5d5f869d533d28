/** Faults of a soak run: drawn by seed, overlapping, each undone after a while. */
import * as randomSource from '../../src/common/random_source.js';
import * as platformFleet from '../paths/platform_fleet.js';

/** Shortest and longest time that a fault lasts. */
const MIN_MS = 300;
const MAX_MS = 2_500;

/** Faults of one run. */
const MOST_FAULTS = 12;

/** Time after an acknowledged leaving in which requests may still arrive. */
const DRAIN_MS = 2_000;

/** Time after an evacuation is written in which requests may still arrive. */
const EVACUATE_MS = 5_000;

/** Nodes that may be down at once, so that callers can be served at all. */
const MOST_DOWN = 2;

type Fault = (node: platformFleet.FleetNode, forMs: number) => Promise<void>;

/** Plays faults and checks what they promise. */
export class SoakFaults {
  readonly breaches: string[] = [];
  readonly played: string[] = [];
  private readonly busy = new Set<string>();
  /** Data centres that are out. */
  private readonly out = new Set<string>();
  private down = 0;

  private readonly kinds: ReadonlyArray<readonly [string, Fault]> = [
    ['kill', (node, forMs) => this.restart(node, 'SIGKILL', forMs)],
    ['stop', (node, forMs) => this.restart(node, 'SIGTERM', forMs)],
    ['pause', (node, forMs) => this.pause(node, forMs)],
    ['drain', (node, forMs) => this.drain(node, forMs)],
    ['evacuate', (node, forMs) => this.evacuate(node, forMs)],
    ['reset links', async node => node.relay.reset()],
    ['silence links', async node => node.relay.silence()],
    ['delay links', (node, forMs) => this.harm(node, forMs, 'delay')],
    ['cut links one way', (node, forMs) => this.harm(node, forMs, 'swallow')],
    ['refuse links', (node, forMs) => this.harm(node, forMs, 'refuse')],
    ['store busy', (unusedNode, forMs) => this.store(forMs, 'busy')],
    ['store silent', (unusedNode, forMs) => this.store(forMs, 'silent')],
    ['answers lost', (node, forMs) => this.server(node, forMs, 'answer-lost')],
    ['answers cut', (node, forMs) => this.server(node, forMs, 'cut')],
    ['errors', (node, forMs) => this.server(node, forMs, 'error')],
    ['hang', (node, forMs) => this.server(node, forMs, 'hang')],
  ];

  constructor(
    private readonly fleet: platformFleet.PlatformFleet,
    private readonly random: randomSource.RandomSource,
  ) {}

  /** Plays faults for a while; resolves when all are undone. */
  async play(lengthMs: number): Promise<void> {
    const running: Array<Promise<void>> = [];
    const count = 1 + this.random.nextInt(MOST_FAULTS);
    const starts = Array.from({length: count}, () =>
      this.random.nextInt(lengthMs - MAX_MS),
    ).sort((a, b) => a - b);
    const startedMs = performance.now();
    for (const atMs of starts) {
      await wait(startedMs + atMs - performance.now());
      running.push(this.playOne());
    }
    await wait(startedMs + lengthMs - performance.now());
    await Promise.all(running);
  }

  private async playOne(): Promise<void> {
    const {nodes} = this.fleet;
    const node = nodes[this.random.nextInt(nodes.length)];
    const [name, fault] = this.kinds[this.random.nextInt(this.kinds.length)];
    const forMs = MIN_MS + this.random.nextInt(MAX_MS - MIN_MS);
    if (this.busy.has(node.name) || this.down >= MOST_DOWN) return;
    this.played.push(`${name} at ${node.name} for ${forMs} ms`);
    this.busy.add(node.name);
    this.down++;
    try {
      await fault(node, forMs);
    } finally {
      this.down--;
      this.busy.delete(node.name);
    }
  }

  private async restart(
    node: platformFleet.FleetNode,
    signal: 'SIGKILL' | 'SIGTERM',
    forMs: number,
  ): Promise<void> {
    node.process.signal(signal);
    const status = await node.process.exitStatus();
    if (signal === 'SIGTERM' && status !== 0) {
      this.breaches.push(`${node.name}: ended with ${status} after a stop`);
    }
    await wait(forMs);
    await this.fleet.restart(node);
  }

  private async pause(
    node: platformFleet.FleetNode,
    forMs: number,
  ): Promise<void> {
    node.process.signal('SIGSTOP');
    await wait(forMs);
    node.process.signal('SIGCONT');
  }

  /** The server leaves; a new incarnation takes its place. */
  private async drain(
    node: platformFleet.FleetNode,
    forMs: number,
  ): Promise<void> {
    const {server, control, name} = node;
    const status = await server
      .announce(control, 'draining')
      .catch(() => undefined);
    if (status !== 200) return;
    await wait(DRAIN_MS);
    const before = server.ran.length;
    await wait(forMs);
    const late = server.ran.length - before;
    if (late > 0) this.breaches.push(`${name}: ${late} runs after leaving`);
    server.instanceId = `${server.instanceId}n`;
    server.bornMs = Date.now();
  }

  private async evacuate(
    node: platformFleet.FleetNode,
    forMs: number,
  ): Promise<void> {
    const {dataCentre} = node.server;
    // The end of one evacuation would take another one of the data centre back.
    if (this.out.has(dataCentre)) return;
    this.out.add(dataCentre);
    const key = `evacuate/${dataCentre}`;
    this.fleet.store.put('keyed.op', key, {});
    await wait(EVACUATE_MS);
    const ran = (): number =>
      this.fleet.nodes
        .filter(({server}) => server.dataCentre === dataCentre)
        .reduce((sum, {server}) => sum + server.ran.length, 0);
    const before = ran();
    await wait(forMs);
    const late = ran() - before;
    if (late > 0) this.breaches.push(`${dataCentre}: ${late} runs while out`);
    this.fleet.store.put('keyed.op', key, undefined);
    this.out.delete(dataCentre);
  }

  private async harm(
    node: platformFleet.FleetNode,
    forMs: number,
    kind: 'delay' | 'swallow' | 'refuse',
  ): Promise<void> {
    const {relay} = node;
    const direction = this.random.next() < 0.5 ? 'there' : 'back';
    const modes = {
      delay: {kind: 'delay', delayMs: 20 + this.random.nextInt(180)},
      swallow: {kind: 'swallow', direction},
      refuse: {kind: 'refuse'},
    } as const;
    relay.mode = modes[kind];
    if (kind === 'refuse') relay.reset();
    await wait(forMs);
    relay.mode = {kind: 'pass'};
  }

  private async store(forMs: number, kind: 'busy' | 'silent'): Promise<void> {
    this.fleet.store.mode = {kind};
    await wait(forMs);
    this.fleet.store.mode = {kind: 'up'};
  }

  private async server(
    node: platformFleet.FleetNode,
    forMs: number,
    kind: 'answer-lost' | 'cut' | 'error' | 'hang',
  ): Promise<void> {
    const {server} = node;
    const before = server.mode;
    server.mode = {kind};
    await wait(forMs);
    server.mode = before;
  }
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
}
