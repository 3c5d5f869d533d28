/** A fleet of daemon processes on loopback, with stand-ins for the platform. */
import type * as http from 'node:http';

import * as documents from '../stand_ins/platform/documents.js';
import * as serverStandIn from '../stand_ins/platform/server_stand_in.js';
import * as storeStandIn from '../stand_ins/platform/store_stand_in.js';
import * as child from './child.js';
import * as faultRelay from './fault_relay.js';
import * as fleet from './fleet.js';

const READY_TIMEOUT_MS = 15_000;

/** The compiled daemon, relative to the build directory. */
const COMPILED_DAEMON = 'src/daemon/main.js';

/** Data centres by default. */
const DATA_CENTRES = ['north', 'south', 'east'];

/** A daemon, its backend server and its addresses. */
export interface FleetNode {
  readonly name: string;
  readonly process: child.Child;
  readonly server: serverStandIn.ServerStandIn;
  readonly callers: string;
  readonly peers: string;
  readonly control: string;
  readonly readiness: string;
  readonly metrics: string;
  readonly settings: string;
  /** Relays the links of other nodes to this one. */
  readonly relay: faultRelay.FaultRelay;
  /** Relays the calls of this node to the store. */
  readonly storeRelay: faultRelay.FaultRelay;
  /** Relays the connections of this node to its backend server, if the fleet relays them. */
  readonly serverRelay: faultRelay.FaultRelay | undefined;
}

/** An HTTP answer with its body as text. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Options of a request that a test sends. */
export interface CallerRequest {
  readonly id: string;
  readonly path?: string;
  readonly method?: string;
  readonly body?: string;
  readonly deadlineMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly agent?: http.Agent;
}

/** Options of a fleet. */
export interface PlatformFleetOptions {
  /** Program of the daemon, relative to the build directory. */
  readonly program?: string;
  /** Arguments for Node.js itself, before the program. */
  readonly nodeArgs?: readonly string[];
  /** Descriptors that each daemon may open; those of this process by default. */
  readonly maxDescriptors?: number;
  /** Settings of all nodes that override the defaults of the tests. */
  readonly settings?: object;
  /** Top-level fields of the first configuration that override the defaults of the tests. */
  readonly configuration?: object;
  /** Data centres, assigned to the nodes round robin. */
  readonly dataCentres?: readonly string[];
  /** Versions of the backend servers by node; `v1` by default. */
  readonly versions?: readonly string[];
  /** Services of the backend servers by node; `orders` by default. */
  readonly services?: readonly string[];
  /** Whether connections to backend servers are relayed, so that they can be silenced. */
  readonly relaysServers?: boolean;
}

/** Owns daemons, backend servers and the store; disposing it ends them. */
export class PlatformFleet implements AsyncDisposable {
  readonly nodes: FleetNode[] = [];
  /** All daemons that were started, those included that have ended. */
  private readonly daemons: child.Child[] = [];
  private announceTimer: NodeJS.Timeout | undefined;

  private constructor(
    readonly store: storeStandIn.StoreStandIn,
    readonly storeAddress: string,
    private readonly options: Required<
      Omit<PlatformFleetOptions, 'maxDescriptors'>
    > &
      Pick<PlatformFleetOptions, 'maxDescriptors'>,
  ) {}

  /** Starts a fleet and waits until each node can reach all backend servers. */
  static async start(
    size: number,
    options: PlatformFleetOptions = {},
  ): Promise<PlatformFleet> {
    const store = new storeStandIn.StoreStandIn();
    const address = await store.listen();
    const fleet = new PlatformFleet(store, address, {
      program: COMPILED_DAEMON,
      nodeArgs: [],
      settings: {},
      configuration: {},
      dataCentres: DATA_CENTRES,
      versions: [],
      services: [],
      relaysServers: false,
      ...options,
    });
    const document = documents.configuration(1, fleet.options.configuration);
    store.put('keyed.op', 'config', document);
    for (let i = 0; i < size; i++) await fleet.addNode();
    fleet.announceTimer = setInterval(() => void fleet.announceAll(), 500);
    await fleet.announceAll();
    await Promise.all(fleet.nodes.map(node => fleet.waitUntilReady(node)));
    await fleet.waitUntilServersReachable();
    return fleet;
  }

  /** Starts another node with its backend server, without waiting until it is ready. */
  async addNode(): Promise<FleetNode> {
    const i = this.nodes.length;
    const {dataCentres} = this.options;
    const dataCentre = dataCentres[i % dataCentres.length];
    const service = this.options.services[i] ?? 'orders';
    const server = new serverStandIn.ServerStandIn(
      service,
      dataCentre,
      `i${i}`,
    );
    server.version = this.options.versions[i] ?? 'v1';
    const bound = await server.listen();
    const serverRelay = this.options.relaysServers
      ? new faultRelay.FaultRelay(Number(bound.split(':')[1]))
      : undefined;
    const address = (await serverRelay?.listen()) ?? bound;
    server.advertise(address);
    const ports = await child.freePorts(5);
    const [callers, peers, control, readiness, metrics] = ports.map(
      port => `127.0.0.1:${port}`,
    );
    const relay = new faultRelay.FaultRelay(ports[1]);
    const advertised = await relay.listen();
    const [, storePort] = this.storeAddress.split(':');
    const storeRelay = new faultRelay.FaultRelay(Number(storePort));
    const settings = child.temporaryFile(
      `node${i}.jsonc`,
      JSON.stringify({
        nodeId: `node-${i}`,
        dataCentre,
        service,
        server: address,
        listen: {
          callers,
          peers,
          advertised,
          announcements: control,
          readiness,
          metrics,
        },
        store: await storeRelay.listen(),
        bounds: {grace_s: 4},
        routineLogShare: 1,
        ...this.options.settings,
      }),
    );
    const name = `node-${i}`;
    const process = this.startDaemon(name, settings);
    const node = {
      name,
      process,
      server,
      callers,
      peers,
      control,
      readiness,
      metrics,
      settings,
      relay,
      storeRelay,
      serverRelay,
    };
    this.nodes.push(node);
    return node;
  }

  /** Starts the daemon of a node again after it has exited, and waits until it is ready. */
  async restart(node: FleetNode): Promise<FleetNode> {
    const started = {
      ...node,
      process: this.startDaemon(node.name, node.settings),
    };
    this.nodes[this.nodes.indexOf(node)] = started;
    await this.waitUntilReady(started);
    return started;
  }

  /** Sends a request to the entry of a node. */
  async send(node: FleetNode, req: CallerRequest): Promise<CallerAnswer> {
    const {id, path = '/history/1', method, body, agent} = req;
    const [, port] = node.callers.split(':');
    const answer = await fleet.call(Number(port), {
      path,
      method,
      body,
      agent,
      headers: {
        Host: documents.HOST,
        'Request-Id': id,
        'Deadline-Ms': String(req.deadlineMs ?? 1_500),
        ...req.headers,
      },
    });
    return {...answer, body: answer.body.toString()};
  }

  /** Number of runs of a request on all backend servers. */
  runsOf(id: string): number {
    return this.nodes
      .flatMap(node => node.server.runs)
      .filter(seen => seen.requestId === id).length;
  }

  /** One line for each daemon that ended though no test sent a signal for it. */
  get unexpectedEnds(): readonly string[] {
    return this.daemons
      .filter(daemon => daemon.unexpectedEnd !== undefined)
      .map(({name, unexpectedEnd}) => `${name} ended by ${unexpectedEnd}`);
  }

  /** Output of all daemons, those included that have ended. */
  get logs(): string {
    return this.daemons.map(daemon => daemon.printed).join('\n');
  }

  /** @throws Error if a daemon ended though no test sent a signal for it. */
  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.announceTimer);
    for (const node of this.nodes) {
      await node.process[Symbol.asyncDispose]();
      await node.server[Symbol.asyncDispose]();
      await node.relay[Symbol.asyncDispose]();
      await node.storeRelay[Symbol.asyncDispose]();
      await node.serverRelay?.[Symbol.asyncDispose]();
    }
    await this.store[Symbol.asyncDispose]();
    const ends = this.unexpectedEnds;
    if (ends.length > 0) throw new Error(ends.join('; '));
  }

  async waitUntilReady(node: FleetNode): Promise<void> {
    await child.waitUntil(
      async () => (await readinessStatus(node.readiness)) === 200,
      READY_TIMEOUT_MS,
      () => `${node.name} to be ready; it printed ${node.process.printed}`,
    );
  }

  private startDaemon(name: string, settings: string): child.Child {
    const {program, nodeArgs, maxDescriptors} = this.options;
    const args = ['--settings', settings];
    const daemon = child.startProgram(
      name,
      program,
      args,
      nodeArgs,
      maxDescriptors,
    );
    this.daemons.push(daemon);
    return daemon;
  }

  private async announceAll(): Promise<void> {
    await Promise.all(
      this.nodes
        .filter(({server}) => !server.deregistered)
        .map(({server, control}) =>
          server.announce(control).catch(() => undefined),
        ),
    );
  }

  /** Waits until the entry of every node can reach every backend server, as its log shows. */
  private async waitUntilServersReachable(): Promise<void> {
    const count = this.nodes.length - 1;
    for (const node of this.nodes) {
      await child.waitUntil(
        () =>
          node.process.printed.split('peer-regained').length > count &&
          node.process.printed.includes('"closure":"CLOSURE_OPEN"'),
        READY_TIMEOUT_MS,
        () => `${node.name} to reach all; it printed ${node.process.printed}`,
      );
    }
  }
}

async function readinessStatus(address: string): Promise<number> {
  try {
    const res = await fetch(`http://${address}/ready`);
    await res.arrayBuffer();
    return res.status;
  } catch {
    return 0;
  }
}
