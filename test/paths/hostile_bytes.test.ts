import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as randomSource from '../../src/common/random_source.js';
import * as serving from '../../src/generated/serving.js';
import * as frameCodec from '../../src/node/frame_codec.js';
import * as documents from '../stand_ins/platform/documents.js';
import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const SEED = Number(process.env['SEED'] ?? 17);

/** Connections to each port, and how many of them are open at the same time. */
const CONNECTIONS = 400;
const PARALLEL = 12;

/** Longest time for which a connection stays open. */
const OPEN_MS = 120;

const SERVED_TIMEOUT_MS = 15_000;

const random = new randomSource.SeededRandom(SEED);

function below(limit: number): number {
  return Math.floor(random.next() * limit);
}

function pick<T>(values: readonly T[]): T {
  return values[below(values.length)];
}

const ODD_NUMBERS = [0, 1, 7, 2 ** 16, 2 ** 31 - 1, 2 ** 32 - 1];
const ODD_TEXTS = [
  '',
  'orders',
  'history',
  'GET',
  '/history/1',
  'no word\r\nX: y',
  '\u0000',
  '\ud83d\ude00',
  'x'.repeat(70_000),
  '__proto__',
];

function number(): number {
  return random.next() < 0.5 ? pick(ODD_NUMBERS) : below(2 ** 32);
}

function text(): string {
  return pick(ODD_TEXTS);
}

function texts(): readonly string[] {
  return Array.from({length: below(6)}, text);
}

function randomBytes(): Buffer {
  return Buffer.from(Array.from({length: 1 + below(400)}, () => below(256)));
}

function notice(): serving.ServerNotice | undefined {
  if (random.next() < 0.5) return undefined;
  return {
    instanceId: pick(['i0', '', 'x'.repeat(300)]),
    startMs: number(),
    limitPerSecond: pick([undefined, 0, -1, NaN, Infinity, 1e300]),
    leaving: random.next() < 0.5,
  };
}

function greeting(nodeId: string): serving.NodeFrame {
  const sender = {
    nodeId,
    dataCentre: 'north',
    service: pick(['orders', text()]),
    ip: pick(['127.0.0.1', '999.1.1.1', text()]),
    port: pick([9, number()]),
  };
  return {
    body: {
      $case: 'greeting',
      value: {
        sender: random.next() < 0.9 ? sender : undefined,
        processStartedMs: number(),
        toNodeId: random.next() < 0.9 ? 'node-0' : text(),
        acceptsParts: random.next() < 0.5,
        notice: undefined,
      },
    },
  };
}

function dispatch(): serving.Dispatch {
  return {
    call: number(),
    service: pick(['orders', text()]),
    route: pick(['history', text()]),
    requestId: text(),
    method: pick(['GET', 'POST', 'CONNECT', text()]),
    target: pick(['/history/1', 'history', text()]),
    headers: texts(),
    body: pick([Buffer.alloc(0), randomBytes()]),
    timeLeftMs: pick([1_500, number()]),
    objectiveLeftMs: pick([600, number()]),
    rank: number(),
    repeatable: random.next() < 0.5,
    redirectable: random.next() < 0.5,
    fingerprint: text(),
    notice: notice(),
    workspace: text(),
    startLeftMs: pick([undefined, number()]),
  };
}

/** Returns a frame that an entry may send, with odd values. */
function frame(): serving.NodeFrame {
  const sentMs = pick([undefined, 0, number()]);
  const bodies: ReadonlyArray<() => serving.NodeFrame['body']> = [
    () => ({$case: 'dispatch', value: dispatch()}),
    () => ({$case: 'dispatch', value: dispatch()}),
    () => ({$case: 'withdraw', value: {call: number()}}),
    () => ({$case: 'ping', value: {}}),
    () => ({$case: 'stateWanted', value: {}}),
    () => ({$case: 'freshnessRequest', value: {question: number()}}),
    () => ({
      $case: 'tokenRequest',
      value: {
        number: number(),
        demands: [
          {
            workspace: text(),
            count: number(),
            ratePerSecond: pick([1, 0, NaN, Infinity, -1]),
            burst: pick([1, 0, NaN, Infinity, -1]),
          },
        ],
      },
    }),
    () => ({
      $case: 'part',
      value: {
        message: below(3),
        content: randomBytes(),
        last: random.next() < 0.5,
        totalBytes: pick([0, number()]),
      },
    }),
    () => undefined,
  ];
  return {body: pick(bodies)(), sentMs};
}

function encode(value: serving.NodeFrame): Buffer {
  return frameCodec.encodeFrame(serving.NodeFrame, value);
}

function linkBytes(): Buffer {
  const frames = Array.from({length: 1 + below(6)}, frame);
  const first = greeting(pick(['node-7', 'node-8', 'node-0', text()]));
  return Buffer.concat([first, ...frames].map(encode));
}

const HTTP_LINES = [
  `Host: ${documents.HOST}`,
  'Request-Id: a',
  'Request-Id: ',
  'Deadline-Ms: 500',
  'Deadline-Ms: -1',
  'Deadline-Ms: 1e400',
  'Deadline-Ms: 99999999999999999999',
  'Content-Length: 5',
  'Content-Length: 99999999999',
  'Transfer-Encoding: chunked',
  'Expect: 100-continue',
  'Connection: upgrade',
  'Upgrade: websocket',
  'Connection: close',
  'X: \u00ff\u0001',
];

function httpBytes(): Buffer {
  const method = pick(['GET', 'POST', 'HEAD', 'CONNECT', 'OPTIONS', 'PUT']);
  const target = pick([
    '/history/1',
    '/place/1',
    '/ready',
    '/metrics',
    '*',
    'a:1',
    '/%',
    '/Instances.Heartbeat/%E0%A4%A',
    '/Instances.Heartbeat/i0',
    '/Instances.Deregister/i0',
  ]);
  const lines = [
    `Host: ${documents.HOST}`,
    `Request-Id: h${below(1_000)}`,
    ...Array.from({length: below(5)}, () => pick(HTTP_LINES)),
  ];
  const body = pick([
    '',
    'order',
    '5\r\norder\r\n0\r\n\r\n',
    'ffffffff\r\n',
    '{"born":1e999,"status":null}',
    '['.repeat(9_000),
  ]);
  const head = `${method} ${target} HTTP/1.1\r\n${lines.join('\r\n')}\r\n`;
  const message = `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
  const plain = `${head}\r\n${body}`;
  return Buffer.from(pick([message, plain]).repeat(1 + below(3)), 'latin1');
}

/** Changes some bytes, or none. */
function mutated(bytes: Buffer): Buffer {
  const changed = Buffer.from(bytes);
  const count = pick([0, 0, 1, 3, 10]);
  for (let i = 0; i < count; i++) changed[below(changed.length)] = below(256);
  return changed;
}

function hostile(valid: () => Buffer): Buffer {
  if (random.next() < 0.15) return randomBytes();
  const bytes = mutated(valid());
  return random.next() < 0.3 ? bytes.subarray(0, below(bytes.length)) : bytes;
}

interface Visit {
  readonly pieces: readonly Buffer[];
  readonly openMs: number;
  readonly isReset: boolean;
}

function visit(valid: () => Buffer): Visit {
  const bytes = hostile(valid);
  const cut = below(bytes.length + 1);
  return {
    pieces: [bytes.subarray(0, cut), bytes.subarray(cut)],
    openMs: below(OPEN_MS),
    isReset: random.next() < 0.5,
  };
}

async function run(address: string, planned: Visit): Promise<void> {
  const [host, port] = address.split(':');
  const socket = net.connect({host, port: Number(port)});
  socket.on('error', () => undefined);
  socket.resume();
  const [first, second] = planned.pieces;
  socket.write(first);
  await timers.setTimeout(planned.openMs / 2);
  socket.write(second);
  await timers.setTimeout(planned.openMs / 2);
  if (planned.isReset) socket.resetAndDestroy();
  else socket.end().destroySoon();
}

async function runAll(
  address: string,
  visits: readonly Visit[],
): Promise<void> {
  const left = [...visits];
  const work = async (): Promise<void> => {
    for (;;) {
      const next = left.shift();
      if (next === undefined) return;
      await run(address, next);
    }
  };
  await Promise.all(Array.from({length: PARALLEL}, work));
}

test(`hostile bytes on no port end a node, seed ${SEED}`, async () => {
  const [port] = await child.freePorts(1);
  await using fleet = await platformFleet.PlatformFleet.start(1);
  const [{settings, process: first}] = fleet.nodes;
  const stated = JSON.parse(fs.readFileSync(settings, 'utf8')) as {
    readonly listen: {
      readonly [
        name in 'callers' | 'peers' | 'announcements' | 'readiness'
      ]: string;
    };
  };
  const metrics = `127.0.0.1:${port}`;
  const listen = {...stated.listen, metrics};
  fs.writeFileSync(settings, JSON.stringify({...stated, listen}));
  first.signal('SIGKILL');
  await first.exitStatus();
  const node = await fleet.restart(fleet.nodes[0]);
  const {callers, peers, announcements, readiness} = listen;
  const plan = (valid: () => Buffer): readonly Visit[] =>
    Array.from({length: CONNECTIONS}, () => visit(valid));
  const plans: ReadonlyArray<readonly [string, readonly Visit[]]> = [
    [callers, plan(httpBytes)],
    [peers, plan(linkBytes)],
    [announcements, plan(httpBytes)],
    [readiness, plan(httpBytes)],
    [metrics, plan(httpBytes)],
  ];
  await Promise.all(plans.map(([address, visits]) => runAll(address, visits)));
  const {process: daemon} = node;
  assert.ok(daemon.isRunning, daemon.printed.slice(-4_000));
  assert.doesNotMatch(daemon.printed, /"event":"failed"/);
  let count = 0;
  // Some bytes tell that the server leaves, as it or a peer may; another instance follows it.
  node.server.instanceId = 'next';
  node.server.startAgain();
  await child.waitUntil(
    async () => {
      assert.ok(daemon.isRunning, daemon.printed.slice(-4_000));
      const id = `ordinary-${++count}`;
      return (await fleet.send(node, {id})).status === 200;
    },
    SERVED_TIMEOUT_MS,
    () => `a request to be answered; ${daemon.printed.slice(-4_000)}`,
  );
});
