/**
 * Writes the V8 code cache of the bundled daemon. Two nodes run in this process for some seconds,
 * beside a minimal store and backend server, so that the cache contains the functions that a start
 * and requests use.
 */
import * as events from 'node:events';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as module from 'node:module';
import * as os from 'node:os';
import * as path from 'node:path';
import * as stream from 'node:stream';

const REQUESTS = 60;
const HEARTBEATS = 4;
const PAUSE_MS = 25;
const HOST = 'warm.example';
const SERVICE = 'warm';

const require = module.createRequire(import.meta.url);
const launcher = require('../target/geraniumloft-node.cjs');

const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Starts an HTTP server on a free port of 127.0.0.1; returns it and its address. */
async function listen(handler) {
  const server = http.createServer((req, res) => {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => handler(req, res, Buffer.concat(chunks)));
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  return {server, address: `127.0.0.1:${server.address().port}`};
}

/** Returns addresses that were free when checked. */
async function freeAddresses(count) {
  const found = await Promise.all(Array.from({length: count}, () => listen()));
  for (const {server} of found) server.close();
  return found.map(({address}) => address);
}

const CONFIGURATION = {
  version: 1,
  routes: ['safe', 'unsafe'].map(kind => ({
    name: kind,
    host: HOST,
    path_prefix: `/${kind}/`,
    route_kind: kind,
    timeout_s: 2,
    target_latency_s: 1,
    priority: 1,
    service: SERVICE,
    attempts: 2,
  })),
  services: [
    {
      name: SERVICE,
      health_path: '/healthz',
      max_conns: 100,
      protocol: 'h1',
      tls_mode: false,
      cold_start_s: 1,
      cold_per_s: 10,
    },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 100_000,
    header_timeout_s: 3,
    idle_timeout_s: 15,
  },
};

function startStore() {
  const value = Buffer.from(JSON.stringify(CONFIGURATION)).toString('base64');
  const topics = new Map([['keyed.op', [{key: 'config', value}]]]);
  return listen((req, res, body) => {
    const url = new URL(req.url, 'http://store');
    const topic = url.searchParams.get('topic');
    const records = topics.get(topic) ?? [];
    if (url.pathname === '/log-append') {
      const keyEnd = 5 + body[4];
      const key = body.subarray(5, keyEnd).toString();
      const appended = body.subarray(keyEnd).toString('base64');
      topics.set(topic, [...records, {key, value: appended}]);
      return res.end('{}');
    }
    if (url.pathname === '/log-newest') {
      const items = records.map((r, offset) => ({...r, offset}));
      const page = {items, has_more: false, end_offset: items.length};
      return res.end(JSON.stringify(page));
    }
    const page = Buffer.alloc(16);
    page.writeBigUInt64BE(BigInt(records.length));
    setTimeout(() => res.end(page), Number(url.searchParams.get('wait_ms')));
  });
}

function startServer(instanceId) {
  return listen((req, res) => {
    res.setHeader('Server-Load', '1,0,10,100');
    res.setHeader('Instance-Id', instanceId);
    if (req.url === '/healthz') return res.end();
    res.setHeader('Request-Id', req.headers['request-id']);
    res.setHeader('Server-Seal', 'seal');
    setTimeout(() => res.end('{}'), 10);
  });
}

/** Runs a node with a process object of its own, whose end does not end this process. */
function runNode(start, settingsFile) {
  const own = Object.create(process);
  const signals = new events.EventEmitter();
  const exited = new Promise(resolve => {
    const properties = {
      argv: [process.execPath, 'geraniumloft-node', '--settings', settingsFile],
      stdout: new stream.Writable({write: (chunk, encoding, done) => done()}),
      on: (name, listener) => signals.on(name, listener),
      exit: resolve,
    };
    for (const [name, value] of Object.entries(properties)) {
      Object.defineProperty(own, name, {value});
    }
  });
  start(require, own);
  return {
    stop: () => {
      signals.emit('SIGTERM');
      return exited;
    },
  };
}

async function startNode(start, directory, i, store) {
  const instanceId = `warm-${i}`;
  const {address} = await startServer(instanceId);
  const [callers, peers, announcements, readiness, metrics] =
    await freeAddresses(5);
  const file = path.join(directory, `${i}.json`);
  const settings = {
    nodeId: `node-${i}`,
    dataCentre: `dc-${i}`,
    service: SERVICE,
    server: address,
    listen: {callers, peers, announcements, readiness, metrics},
    memoryMb: 200,
    store,
    bounds: {grace_s: 1},
  };
  fs.writeFileSync(file, JSON.stringify(settings));
  const node = runNode(start, file);
  return {...node, ...settings.listen, address, instanceId, dc: `dc-${i}`};
}

async function call(address, target, options) {
  const url = new URL(`http://${address}${target}`);
  await new Promise(resolve => {
    const req = http.request(url, options, res => {
      res.resume();
      res.on('close', resolve);
    });
    req.on('error', resolve);
    req.end(options.body);
  });
}

function announce({announcements, address, instanceId, dc}, sequence) {
  const target = `/Instances.Heartbeat/${instanceId}`;
  const info = {service: SERVICE, version: 'v1', zone: dc, slot_count: 10};
  const status = {state: 'ready', sequence, cold_left_s: 0};
  const body = JSON.stringify({address, born: 1, node_info: info, status});
  return call(announcements, target, {method: 'POST', body});
}

async function warmUp(start, directory) {
  const {address: store} = await startStore();
  const nodes = [
    await startNode(start, directory, 0, store),
    await startNode(start, directory, 1, store),
  ];
  for (let sequence = 1; sequence <= HEARTBEATS; sequence++) {
    await pause(10 * PAUSE_MS);
    for (const node of nodes) await announce(node, sequence);
    for (const node of nodes) await call(node.readiness, '/ready', {});
  }
  const calls = [];
  for (let i = 0; i < REQUESTS; i++) {
    const {callers} = nodes[i % nodes.length];
    const headers = {Host: HOST, 'Request-Id': `w${i}`, 'Deadline-Ms': '1000'};
    const isSafe = i % 3 > 0;
    const options = isSafe
      ? {headers}
      : {headers, method: 'POST', body: 'warm'};
    calls.push(call(callers, isSafe ? '/safe/1' : '/unsafe/1', options));
    await pause(PAUSE_MS);
  }
  await Promise.all(calls);
  for (const node of nodes) await call(node.metrics, '/metrics', {});
  return nodes;
}

const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'geraniumloft-'));
try {
  const script = launcher.loadScript();
  const nodes = await warmUp(script.runInThisContext(), directory);
  fs.writeFileSync(launcher.CACHE, script.createCachedData());
  await Promise.all(nodes.map(node => node.stop()));
} finally {
  fs.rmSync(directory, {recursive: true});
}
process.exit(0);
