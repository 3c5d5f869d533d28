/** A small fleet of real processes: log, nodes and backend servers. */
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

/** What a pair of node and backend server is started with. */
export interface PairOptions {
  readonly nodeId: string;
  readonly service?: string;
  readonly dataCentre?: string;
  readonly mode?: Partial<serverMode.ServerMode>;
  /** Settings that differ from the usual ones. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Arguments of the Node.js process itself. */
  readonly nodeArgs?: readonly string[];
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

/** A caller's view of an answer. */
export interface Answer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** A request of a test's caller. */
export interface CallOptions {
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Keeps connections; each request has its own without it. */
  readonly agent?: http.Agent;
}

/** Configuration of two services, read by GET and written by POST. */
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

/** Owns the processes. */
export class Fleet implements AsyncDisposable {
  private readonly resources = new resourceStack.ResourceStack();

  private constructor(
    readonly logPort: number,
    readonly log: child.Child,
  ) {
    this.resources.use(log);
  }

  /** Starts a fleet with a configuration in its log, if one is given. */
  static async start(cfg?: configuration.Configuration): Promise<Fleet> {
    const [port] = await child.freePorts(1);
    const args = ['log', '--port', String(port)];
    const log = child.startProgram('log', 'test/stand_ins/main.js', args);
    await log.prints('listening');
    const fleet = new Fleet(port, log);
    if (cfg) await fleet.publish(cfg);
    return fleet;
  }

  /** Starts a node and its backend server. */
  async addPair(options: PairOptions): Promise<Pair> {
    const ports = await child.freePorts(4);
    const [http, peerPort, operator, serverPort] = ports;
    const service = options.service ?? 'orders';
    const settings = {
      nodeId: options.nodeId,
      dataCentre: options.dataCentre ?? 'couva',
      region: 'tt-central',
      service,
      ip: '127.0.0.1',
      ports: {http, peer: peerPort, operator},
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
      ),
    );
    const server = this.startServer(options, serverPort, http);
    await node.prints('listening');
    await server.prints('listening');
    return {
      nodeId: options.nodeId,
      service,
      httpPort: http,
      peerPort,
      operatorPort: operator,
      serverPort,
      node,
      server,
      operator: new operatorClient.OperatorClient({
        ip: '127.0.0.1',
        port: operator,
        timeoutMs: RPC_TIMEOUT_MS,
      }),
    };
  }

  /** Starts a backend server that announces itself to the node's HTTP port. */
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

  /** Appends a configuration made on revision 0 to the log. */
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

  /** Resolves once every node knows all pairs, and every backend server is ready. */
  async ready(pairs: readonly Pair[]): Promise<void> {
    for (const pair of pairs) {
      await child.until(
        () => knowsAll(pair, pairs),
        READY_TIMEOUT_MS,
        () => `${pair.nodeId} to be ready; it printed ${pair.node.printed}`,
      );
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }
}

async function knowsAll(pair: Pair, all: readonly Pair[]): Promise<boolean> {
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

/** Sends a request on a connection of its own and reads the answer whole. */
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

/** Reads what the backend server has run. */
export async function runsOf(pair: Pair): Promise<runRecord.RunCounts> {
  const answer = await call(pair.serverPort, {path: '/.stand-in/runs'});
  return JSON.parse(answer.body.toString()) as runRecord.RunCounts;
}

/** Changes how the backend server behaves. */
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
