/** A small fleet of processes on loopback: log, nodes and backend servers. */
import * as http from 'node:http';

import * as uuid from 'uuid';

import * as configuration from '../../src/generated/configuration.js';
import * as peer from '../../src/generated/peer.js';
import * as logClient from '../../src/node/log_client.js';
import * as operatorClient from '../../src/node/operator_client.js';
import * as resourceStack from '../../src/node/resource_stack.js';
import * as runRecord from '../stand_ins/server/run_record.js';
import * as serverMode from '../stand_ins/server/server_mode.js';
import * as child from './child.js';

const READY_TIMEOUT_MS = 30_000;
const RPC_TIMEOUT_MS = 2_000;

/** Options of a node and its backend server. */
export interface PairOptions {
  readonly nodeId: string;
  readonly service?: string;
  readonly dataCentre?: string;
  readonly mode?: Partial<serverMode.ServerMode>;
  /** Settings of the node that override the defaults of the tests. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Arguments for Node.js itself, before the program. */
  readonly nodeArgs?: readonly string[];
  /** Descriptors that the node may open; those of this process by default. */
  readonly maxDescriptors?: number;
}

/** A node and the backend server beside it. */
export interface Pair {
  readonly nodeId: string;
  readonly service: string;
  readonly httpPort: number;
  readonly peerPort: number;
  readonly operatorPort: number;
  readonly serverPort: number;
  readonly node: child.Child;
  readonly server: child.Child;
  readonly operator: operatorClient.OperatorClient;
}

/** An HTTP answer as its caller receives it. */
export interface Answer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Options of a request that a test sends. */
export interface CallOptions {
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Reuses connections; without it each request opens its own. */
  readonly agent?: http.Agent;
}

/** Configuration of two services with an idempotent GET and a non-idempotent POST route each. */
export function testConfiguration(
  tuning: configuration.ServiceTuning = {},
): configuration.Configuration {
  return {
    defaults: {coldStartMs: 0, coldStartSlots: 12, ...tuning},
    classes: [
      {name: 'read', kind: 'interactive', deadlineMs: 5_000, idempotent: true},
      {
        name: 'write',
        kind: 'interactive',
        deadlineMs: 5_000,
        idempotent: false,
      },
    ].map(c => ({...c, maxAttempts: 3, hedgeAfterMs: 0})) as never,
    services: ['orders', 'catalogue'].map(name => ({
      name,
      routes: [
        {method: 'GET', pathPrefix: `/${name}`, class: 'read'},
        {method: 'POST', pathPrefix: `/${name}`, class: 'write'},
      ],
    })),
    exceptions: [],
  };
}

/** Owns the processes of a fleet; disposing it ends them. */
export class Fleet implements AsyncDisposable {
  private readonly resources = new resourceStack.ResourceStack();

  private constructor(
    readonly logPort: number,
    readonly log: child.Child,
  ) {
    this.resources.use(log);
  }

  /** Starts the log and publishes `cfg`, if given; nodes are added later. */
  static async start(cfg?: configuration.Configuration): Promise<Fleet> {
    const [port] = await child.freePorts(1);
    const args = ['log', '--port', String(port)];
    const log = child.startProgram('log', 'test/stand_ins/main.js', args);
    await log.waitForOutput('listening');
    const fleet = new Fleet(port, log);
    if (cfg) await fleet.publish(cfg);
    return fleet;
  }

  /** Starts a node and its backend server and waits until both listen. */
  async addPair(options: PairOptions): Promise<Pair> {
    const ports = await child.freePorts(4);
    const [httpPort, peerPort, operatorPort, serverPort] = ports;
    const service = options.service ?? 'orders';
    const settings = {
      nodeId: options.nodeId,
      dataCentre: options.dataCentre ?? 'couva',
      region: 'tt-central',
      service,
      ip: '127.0.0.1',
      ports: {http: httpPort, peer: peerPort, operator: operatorPort},
      slots: 12,
      logService: {ip: '127.0.0.1', port: this.logPort},
      logLevel: 'info',
      ...options.settings,
    };
    const file = child.temporaryFile('node.jsonc', JSON.stringify(settings));
    const node = this.resources.use(
      child.startProgram(
        options.nodeId,
        'src/node/main.js',
        ['--settings', file],
        options.nodeArgs,
        options.maxDescriptors,
      ),
    );
    const server = this.startServer(options, serverPort, httpPort);
    await node.waitForOutput('listening');
    await server.waitForOutput('listening');
    return {
      nodeId: options.nodeId,
      service,
      httpPort,
      peerPort,
      operatorPort,
      serverPort,
      node,
      server,
      operator: new operatorClient.OperatorClient({
        ip: '127.0.0.1',
        port: operatorPort,
        timeoutMs: RPC_TIMEOUT_MS,
      }),
    };
  }

  /** Starts a backend server that announces itself at the node's HTTP port. */
  startServer(
    options: PairOptions,
    serverPort: number,
    nodeHttpPort: number,
  ): child.Child {
    return this.resources.use(
      child.startProgram(
        `server of ${options.nodeId}`,
        'test/stand_ins/main.js',
        [
          'server',
          '--port',
          String(serverPort),
          '--node',
          `127.0.0.1:${nodeHttpPort}`,
          '--mode',
          JSON.stringify(options.mode ?? {}),
        ],
      ),
    );
  }

  /** Appends a change to the log that replaces revision 0 by `cfg`. */
  async publish(cfg: configuration.Configuration): Promise<void> {
    await using client = new logClient.HttpLogClient({
      ip: '127.0.0.1',
      port: this.logPort,
      timeoutMs: RPC_TIMEOUT_MS,
    });
    const record = peer.LogRecord.fromPartial({
      recordId: uuid.v7(),
      timeMs: Date.now(),
      body: {
        $case: 'change',
        value: {
          changeId: uuid.v7(),
          baseRevision: 0,
          author: 'test',
          reason: 'test',
          operationJson: JSON.stringify({kind: 'replace', configuration: cfg}),
        },
      },
    });
    await client.append(peer.LogRecord.encode(record).finish());
  }

  /**
   * Resolves once every node has a configuration, lists all pairs as joined, and has a ready
   * backend server.
   *
   * @throws Error after 30 s for one node.
   */
  async waitUntilReady(pairs: readonly Pair[]): Promise<void> {
    for (const pair of pairs) {
      await child.waitUntil(
        () => isReady(pair, pairs),
        READY_TIMEOUT_MS,
        () => `${pair.nodeId} to be ready; it printed ${pair.node.printed}`,
      );
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }
}

async function isReady(pair: Pair, all: readonly Pair[]): Promise<boolean> {
  try {
    const status = await pair.operator.status();
    const known = new Set(
      status.members.filter(m => m.roster === 'joined').map(m => m.nodeId),
    );
    return (
      status.serverState === 'ready' &&
      status.configurationRevision !== undefined &&
      all.every(other => known.has(other.nodeId))
    );
  } catch {
    return false;
  }
}

/**
 * Sends a request, on a new connection unless `agent` is set, and reads the complete answer.
 *
 * @throws Error if the connection fails before the answer is complete.
 */
export function call(port: number, options: CallOptions): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const req = http.request({
      host: '127.0.0.1',
      port,
      method: options.method ?? 'GET',
      path: options.path,
      headers: options.headers,
      agent: options.agent ?? false,
    });
    req.on('error', reject);
    req.on('response', res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', reject);
      res.on('end', () =>
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          body: Buffer.concat(chunks),
        }),
      );
    });
    req.end(options.body);
  });
}

/** Reads the run counts of the backend server. */
export async function runsOf(pair: Pair): Promise<runRecord.RunCounts> {
  const answer = await call(pair.serverPort, {path: '/.stand-in/runs'});
  return JSON.parse(answer.body.toString()) as runRecord.RunCounts;
}

/** Changes the mode of the backend server. */
export async function setMode(
  pair: Pair,
  change: Partial<serverMode.ServerMode>,
): Promise<void> {
  await call(pair.serverPort, {
    method: 'POST',
    path: '/.stand-in/mode',
    body: JSON.stringify(change),
  });
}
