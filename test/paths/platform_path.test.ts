import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as documents from '../stand_ins/platform/documents.js';
import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const WAIT_MS = 5_000;

function waitUntil(
  condition: () => boolean | Promise<boolean>,
  what: string,
): Promise<void> {
  return child.waitUntil(condition, WAIT_MS, () => what);
}

test('callers get complete answers of servers beside any node, unchanged', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(3);
  const [node] = fleet.nodes;
  const answers = await Promise.all(
    Array.from({length: 40}, (unused, i) =>
      fleet.send(node, {
        id: `q${i}`,
        path: `/history/${i}?a=%20b`,
        headers: {'Caller-Service': 'forged', 'Expect-Instance': 'forged'},
      }),
    ),
  );
  answers.forEach(({status, headers, body}, i) => {
    assert.equal(status, 200);
    assert.equal(headers['request-id'], `q${i}`);
    assert.match(String(headers['server-seal']), /^seal-i/);
    assert.match(body, new RegExp(`^i\\d:q${i}$`));
  });
  const seen = fleet.nodes.flatMap(n => n.server.runs);
  assert.equal(seen.length, 40);
  for (const {headers, target, requestId} of seen) {
    assert.equal(headers['caller-service'], 'orders');
    assert.equal(headers.host, documents.HOST);
    assert.equal(target, `/history/${requestId.slice(1)}?a=%20b`);
    assert.ok(Number(headers['deadline-ms']) <= 1_500);
  }
  const missing = await fleet.send(node, {id: 'x', path: '/none/'});
  assert.equal(missing.status, 404);
});

test('answers that cannot be trusted reach no caller as success', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(1);
  const [node] = fleet.nodes;
  const kinds = [
    'cut',
    'cut-head',
    'joined-heads',
    'unframed',
    'foreign',
    'unsealed',
    'answer-lost',
  ];
  for (const kind of kinds) {
    node.server.mode = {kind} as typeof node.server.mode;
    const req = {path: '/place/1', method: 'POST', body: 'order'};
    const {status} = await fleet.send(node, {id: `bad-${kind}`, ...req});
    assert.equal(status, 502, kind);
    assert.equal(fleet.runsOf(`bad-${kind}`), 1, kind);
  }
});

test('a safe request whose answer is lost is answered by another server', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const [node] = fleet.nodes;
  node.server.mode = {kind: 'answer-lost'};
  const {status, body} = await fleet.send(node, {id: 'again'});
  assert.equal(status, 200);
  assert.equal(body, 'i1:again');
  assert.equal(fleet.runsOf('again'), 2);
});

test('a leaving server gets no requests after its announcement is acknowledged, with the store down', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const [leaving, other] = fleet.nodes;
  fleet.store.mode = {kind: 'silent'};
  assert.equal(await leaving.server.announce(leaving.control, 'draining'), 200);
  for (let i = 0; i < 20; i++) {
    const {status} = await fleet.send(other, {id: `d${i}`});
    assert.equal(status, 200);
  }
  assert.equal(leaving.server.runs.length, 0);
});

test('an evacuated data centre gets no requests, also while the store refuses a node', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(3);
  fleet.store.put('keyed.op', 'evacuate/south', {});
  const south = fleet.nodes[1];
  await waitUntil(
    () => south.process.printed.includes('CLOSURE_DATA_CENTRE_OUT'),
    'the gate to close',
  );
  for (let i = 0; i < 10; i++) await fleet.send(south, {id: `e${i}`});
  assert.equal(south.server.runs.length, 0);
  fleet.store.put('keyed.op', 'evacuate/south', undefined);
  await waitUntil(async () => {
    await fleet.send(south, {id: `back${Math.random()}`});
    return south.server.runs.length > 0;
  }, 'the server to get requests again');
});

test('a configuration is in force within two seconds, and old ones never return', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const added = (version: number, names: readonly string[]): object =>
    documents.configuration(version, {
      routes: names.map(name => documents.addedRoute(name)),
    });
  fleet.store.put('keyed.op', 'config', added(9, ['history', 'fresh']));
  for (const node of fleet.nodes) {
    await child.waitUntil(
      async () => {
        const req = {id: `c${Math.random()}`, path: '/fresh/1'};
        return (await fleet.send(node, req)).status === 200;
      },
      2_000,
      () => 'the new route',
    );
  }
  fleet.store.put('keyed.op', 'config', added(8, ['history']));
  fleet.store.truncate('keyed.op');
  await new Promise(resolve => setTimeout(resolve, 500));
  for (const node of fleet.nodes) {
    const req = {id: `o${Math.random()}`, path: '/fresh/1'};
    assert.equal((await fleet.send(node, req)).status, 200);
  }
});

test('a node that restarts without the store gets its state from its peers', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  fleet.store.mode = {kind: 'busy'};
  const [node] = fleet.nodes;
  node.process.signal('SIGKILL');
  await node.process.exitStatus();
  const restarted = await fleet.restart(node);
  const {status} = await fleet.send(restarted, {id: 'after'});
  assert.equal(status, 200);
});

test('a planned stop aborts no request and exits with status 0', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const [node] = fleet.nodes;
  for (const {server} of fleet.nodes) {
    server.mode = {kind: 'ok', workMs: 300};
  }
  const sends: Array<Promise<platformFleet.CallerAnswer>> = [];
  const sending = setInterval(() => {
    sends.push(fleet.send(node, {id: `s${sends.length}`}));
  }, 50);
  await new Promise(resolve => setTimeout(resolve, 300));
  node.process.signal('SIGTERM');
  await new Promise(resolve => setTimeout(resolve, 1_700));
  clearInterval(sending);
  const answers = await Promise.all(sends);
  assert.ok(answers.length > 20);
  for (const {status} of answers) assert.ok([200, 503].includes(status));
  assert.equal(await node.process.exitStatus(), 0);
});

test("a caller's departure ends its run on the server", async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const [node] = fleet.nodes;
  for (const {server} of fleet.nodes) server.mode = {kind: 'hang'};
  const [host, port] = node.callers.split(':');
  const sent = http.request({
    host,
    port,
    path: '/history/1',
    headers: {Host: documents.HOST, 'Request-Id': 'g', 'Deadline-Ms': 9_000},
  });
  sent.on('error', () => undefined);
  sent.end();
  await waitUntil(() => fleet.runsOf('g') === 1, 'the run');
  sent.destroy();
  const cancelled = (): boolean =>
    fleet.nodes.some(({server}) => server.cancelled.includes('g'));
  await child.waitUntil(cancelled, 500, () => 'the run to be cancelled');
});

test('pipelined requests are answered in order', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const [host, port] = fleet.nodes[0].callers.split(':');
  const socket = net.connect({host, port: Number(port)});
  const ids = ['p1', 'p2', 'p3', 'p4'];
  for (const id of ids) {
    socket.write(
      `GET /history/${id} HTTP/1.1\r\nHost: ${documents.HOST}\r\n` +
        `Request-Id: ${id}\r\nDeadline-Ms: 1500\r\n\r\n`,
    );
  }
  let received = '';
  socket.on('data', chunk => (received += String(chunk)));
  await waitUntil(
    () => ids.every(id => received.includes(`:${id}`)),
    'all answers',
  );
  const order = ids.map(id => received.indexOf(`:${id}`));
  assert.deepEqual(
    order,
    [...order].sort((a, b) => a - b),
  );
  socket.destroy();
});

const AMBIGUOUS_REQUESTS: ReadonlyArray<readonly [string, string]> = [
  [
    'both lengths',
    'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nG',
  ],
  ['two lengths', 'Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello'],
  ['folded header', 'X-A: b\r\n c\r\nContent-Length: 0\r\n\r\n'],
  ['bare line end', 'X-A: b\nX-C: d\r\nContent-Length: 0\r\n\r\n'],
];

test('ambiguous requests are refused and never forwarded', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(1);
  const [node] = fleet.nodes;
  const [host, port] = node.callers.split(':');
  for (const [name, rest] of AMBIGUOUS_REQUESTS) {
    const socket = net.connect({host, port: Number(port)});
    let received = '';
    socket.on('data', chunk => (received += String(chunk)));
    socket.on('error', () => undefined);
    const closed = new Promise(resolve => socket.on('close', resolve));
    socket.write(
      `POST /place/1 HTTP/1.1\r\nHost: ${documents.HOST}\r\n` +
        `Request-Id: m\r\nDeadline-Ms: 1500\r\n${rest}`,
    );
    await child.withTimeout(
      closed,
      WAIT_MS,
      `${name}: the connection to close`,
    );
    assert.match(received, /^HTTP\/1\.1 400 /, name);
  }
  assert.equal(node.server.runs.length, 0);
});

test('bodies and headers beyond the limits are refused', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(1);
  const [node] = fleet.nodes;
  const body = 'x'.repeat(100_001);
  const req = {id: 'big', path: '/place/1', method: 'POST', body};
  assert.equal((await fleet.send(node, req)).status, 413);
  const headers = {'X-Long': 'y'.repeat(20_000)};
  assert.equal((await fleet.send(node, {id: 'long', headers})).status, 431);
});

test('headers that do not end in time are refused with 408', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(1);
  const [host, port] = fleet.nodes[0].callers.split(':');
  const socket = net.connect({host, port: Number(port)});
  let received = '';
  socket.on('data', chunk => (received += String(chunk)));
  socket.on('error', () => undefined);
  const closed = new Promise(resolve => socket.on('close', resolve));
  socket.write(`GET /history/1 HTTP/1.1\r\nHost: ${documents.HOST}\r\n`);
  await child.withTimeout(closed, WAIT_MS, 'the connection to close');
  assert.match(received, /^HTTP\/1\.1 408 /);
});

test('an answer sent before the request body is complete is intact and matches its request', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(1);
  const [node] = fleet.nodes;
  node.server.mode = {kind: 'early'};
  const body = 'x'.repeat(99_000);
  for (let i = 0; i < 10; i++) {
    const req = {id: `early${i}`, path: '/place/1', method: 'POST', body};
    const answer = await fleet.send(node, req);
    assert.equal(answer.status, 200);
    assert.equal(answer.body, `i0:early${i}`);
    assert.equal(fleet.runsOf(`early${i}`), 1);
  }
});

test('a paused node fails no requests of callers at other nodes', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(3);
  const [, paused, caller] = fleet.nodes;
  paused.process.signal('SIGSTOP');
  const answers = await Promise.all(
    Array.from({length: 30}, (unused, i) =>
      fleet.send(caller, {id: `f${i}`, deadlineMs: 4_000}),
    ),
  );
  paused.process.signal('SIGCONT');
  assert.deepEqual([...new Set(answers.map(a => a.status))], [200]);
});

test('the daemon exits with one line for each error in its settings', async () => {
  const settings = child.temporaryFile('bad.jsonc', '{"nodeId": "a"}');
  const program = 'src/daemon/main.js';
  await using started = child.startProgram('bad', program, [
    '--settings',
    settings,
  ]);
  assert.equal(await started.exitStatus(), 2);
  assert.match(started.printed, /missing key server/);
});
