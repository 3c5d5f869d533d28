// Stand-ins of the platform for the cases 6 to 10, after PROTOCOL.md and DEPLOY.md: the metadata
// store, application servers and clients; starts the nodes with the command of the deploy file.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import {performance} from 'node:perf_hooks';
import {clearInterval, clearTimeout, setInterval} from 'node:timers';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';

const ROOT = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../..',
);

/** Command of the deploy file. */
const RUN = ['--max-old-space-size=160', 'target/geraniumloft-node.cjs'];

const HEARTBEAT_MS = 1_500;
const READY_WAIT_MS = 20_000;

export const sleep = ms => timers.setTimeout(ms);

/** Writes `record.txt`; times are in seconds since the start. */
export class Record {
  constructor(folder) {
    this.lines = [];
    this.file = path.join(folder, 'record.txt');
    this.startMs = performance.now();
  }

  seconds(ms = performance.now()) {
    return ((ms - this.startMs) / 1_000).toFixed(3);
  }

  /** Adds a line for the file only. */
  add(text, ms) {
    this.lines.push(`${this.seconds(ms)} ${text}`);
  }

  /** Adds a line and prints it. */
  say(text) {
    this.add(text);
    console.log(`${this.seconds()} ${text}`);
  }

  save() {
    fs.writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** The platform's store: keyed topics, reads that wait, appends. */
export class Store {
  constructor() {
    this.topics = new Map();
    this.server = http.createServer((req, res) => void this.handle(req, res));
  }

  async listen() {
    if (this.port !== undefined) return;
    await listenOn(this.server, '127.0.0.1');
    this.port = this.server.address().port;
  }

  /** Writes a record as the operator does; it is acknowledged when this returns. */
  put(topicName, key, value) {
    const name = Buffer.from(key);
    const text = value === undefined ? '' : JSON.stringify(value);
    this.append(
      this.topic(topicName),
      Buffer.concat([Buffer.from([name.length]), name, Buffer.from(text)]),
    );
  }

  topic(name) {
    if (!this.topics.has(name)) {
      this.topics.set(name, {records: [], wake: new Set()});
    }
    return this.topics.get(name);
  }

  append(topic, content) {
    topic.records.push(content);
    for (const wake of [...topic.wake]) wake();
  }

  async handle(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const {pathname, searchParams} = new URL(req.url, 'http://store');
    const topic = this.topic(searchParams.get('topic'));
    await sleep(4);
    if (pathname === '/log-append')
      return this.onAppend(res, topic, body, searchParams);
    if (pathname === '/log-read') return this.onRead(res, topic, searchParams);
    if (pathname === '/log-newest')
      return this.onNewest(res, topic, searchParams);
    res.writeHead(404).end('{}');
  }

  onAppend(res, topic, body, query) {
    const offset = topic.records.length;
    if (query.has('at') && Number(query.get('at')) !== offset) {
      return res.writeHead(412).end(JSON.stringify({end_offset: offset}));
    }
    for (let at = 0; at + 4 <= body.length;) {
      const end = at + 4 + body.readUInt32BE(at);
      this.append(topic, body.subarray(at + 4, end));
      at = end;
    }
    res
      .writeHead(200)
      .end(JSON.stringify({offset, end_offset: topic.records.length}));
  }

  async onRead(res, topic, query) {
    const from = Number(query.get('from'));
    const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    if (topic.records.length <= from && waitMs > 0) {
      await new Promise(resolve => {
        const done = () => {
          clearTimeout(timer);
          topic.wake.delete(done);
          resolve();
        };
        const timer = setTimeout(done, waitMs);
        topic.wake.add(done);
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = [head];
    for (const content of topic.records.slice(from)) {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(content.length);
      parts.push(length, content);
    }
    res.writeHead(200).end(Buffer.concat(parts));
  }

  onNewest(res, topic, query) {
    const newest = new Map();
    topic.records.forEach((content, offset) => {
      const end = 1 + content[0];
      const key = content.subarray(1, end).toString();
      if (content.length === end) newest.delete(key);
      else {
        const value = content.subarray(end).toString('base64');
        newest.set(key, {key, value, offset});
      }
    });
    const after = query.get('after');
    const rest = [...newest.values()]
      .filter(({key}) => after === null || key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    res.writeHead(200).end(
      JSON.stringify({
        items: rest.slice(0, 500),
        has_more: rest.length > 500,
        end_offset: topic.records.length,
      }),
    );
  }
}

/** An application server beside a node; runs each request for `workMs`. */
export class AppServer {
  constructor(machine, record) {
    this.machine = machine;
    this.record = record;
    this.workMs = 10;
    this.slots = 12;
    this.running = 0;
    this.runs = [];
    this.inProgress = [];
    this.starts = 0;
    this.state = 'ready';
    this.startIncarnation(`i-${machine.name}`);
    this.server = http.createServer((req, res) => this.accept(req, res));
    this.server.keepAliveTimeout = 10_000;
  }

  startIncarnation(id, born = Date.now()) {
    this.id = id;
    this.born = born;
    this.sequence = 0;
    this.state = 'ready';
  }

  async listen() {
    await listenOn(this.server, this.machine.ip, this.machine.ports.app);
  }

  /** Ends at once, with all its connections. */
  async crash() {
    this.state = 'silent';
    this.inProgress = [];
    this.running = 0;
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }

  /** Starts at the same address, as another incarnation with an id of its own. */
  async startAgain(id = `${this.id}.${++this.starts}`, born = Date.now()) {
    this.startIncarnation(id, born);
    await this.listen();
    return this.beat();
  }

  /** Sends a heartbeat now; resolves with the status, or 0 without an answer in a second. */
  beat(state = this.state) {
    const {machine, id, born, slots} = this;
    return this.post(`/Instances.Heartbeat/${id}`, {
      address: `${machine.ip}:${machine.ports.app}`,
      born,
      node_info: {
        service: machine.service,
        version: 'v1',
        zone: machine.zone,
        slot_count: slots,
      },
      status: {state, sequence: ++this.sequence, cold_left_s: 0},
    });
  }

  post(target, body) {
    const {ip, ports} = this.machine;
    return new Promise(resolve => {
      const req = http.request(
        {
          host: ip,
          port: ports.control,
          method: 'POST',
          path: target,
          headers: {'content-type': 'application/json'},
          timeout: 1_000,
          agent: false,
        },
        res => {
          res.resume();
          res.on('end', () => resolve(res.statusCode));
          res.on('error', () => resolve(0));
        },
      );
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(0));
      req.end(JSON.stringify(body));
    });
  }

  accept(req, res) {
    res.setHeader('Server-Load', `${this.running},0,${this.slots},100`);
    if (req.url === '/healthz') {
      res.setHeader('Instance-Id', this.id);
      res.setHeader('Cold-Ms', '0');
      res.writeHead(this.state === 'ready' ? 200 : 503).end();
      return;
    }
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => this.handle(req, res, Buffer.concat(chunks)));
  }

  handle(req, res, body) {
    const id = req.headers['request-id'];
    if (id === undefined) {
      res.writeHead(400, {'Not-Executed': '1'}).end();
      return;
    }
    res.setHeader('Request-Id', id);
    const expected = req.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {'Not-Executed': '1', 'Instance-Id': this.id}).end();
      return;
    }
    if (this.running >= this.slots) {
      res.writeHead(503, {'Not-Executed': '1'}).end();
      return;
    }
    const run = {
      id,
      ms: performance.now(),
      machine: this.machine.name,
      service: this.machine.service,
      tenant: req.headers['tenant'],
      caller: req.headers['caller-service'],
      path: req.url,
      body,
    };
    this.runs.push(run);
    this.record.add(
      `run ${id} by ${this.machine.name} (${this.machine.service})`,
      run.ms,
    );
    this.running++;
    this.inProgress.push(run);
    setTimeout(() => {
      // Lost in a crash.
      if (!this.inProgress.includes(run)) return;
      this.inProgress = this.inProgress.filter(other => other !== run);
      this.running--;
      res.setHeader('Server-Seal', `seal.${this.id}`);
      res.writeHead(200).end(`${this.id} ${id}`);
    }, this.workMs);
  }
}

/** A machine: its node, its application server and their addresses. */
export class Machine {
  constructor(name, zone, service, ip) {
    Object.assign(this, {name, zone, service, ip});
  }

  async prepare(record, folder) {
    this.folder = folder;
    this.ports = {};
    for (const port of [
      'app',
      'outbound',
      'inbound',
      'ready',
      'control',
      'metrics',
    ]) {
      this.ports[port] = await freePort(this.ip);
    }
    this.app = new AppServer(this, record);
    await this.app.listen();
    this.agent = new http.Agent({keepAlive: true, maxSockets: 64});
  }

  address(port) {
    return `${this.ip}:${this.ports[port]}`;
  }

  /** Writes the settings as the template of the deploy file has them. */
  writeSettings(store, bounds, more = {}) {
    this.settings = path.join(this.folder, `${this.name}.jsonc`);
    const document = {
      nodeId: this.name,
      dataCentre: this.zone,
      service: this.service,
      server: this.address('app'),
      listen: {
        callers: this.address('outbound'),
        peers: this.address('inbound'),
        announcements: this.address('control'),
        readiness: this.address('ready'),
        metrics: this.address('metrics'),
        ...more.listen,
      },
      memoryMb: 350,
      maxDescriptors: 4100,
      store,
      bounds,
    };
    fs.writeFileSync(this.settings, JSON.stringify(document, null, 2));
  }

  startNode() {
    const {PATH, HOME, LANG} = process.env;
    const log = fs.openSync(path.join(this.folder, `${this.name}.log`), 'a');
    this.node = childProcess.spawn('node', RUN, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, GERANIUMLOFT_BOOT: this.settings},
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    this.node.ended = new Promise(resolve => this.node.once('exit', resolve));
    return this.node;
  }

  log() {
    return fs.readFileSync(path.join(this.folder, `${this.name}.log`), 'utf8');
  }

  async isReady() {
    return (await get(this.ip, this.ports.ready, '/ready')) === 200;
  }

  /** Sends a client's request; resolves with what the client sees. */
  send({
    id,
    host,
    target,
    method = 'GET',
    body,
    deadlineMs = 1_500,
    headers = {},
    agent = this.agent,
  }) {
    const sentMs = performance.now();
    return new Promise(resolve => {
      const end = (status, text = '', answered = {}) =>
        resolve({
          id,
          sentMs,
          endMs: performance.now(),
          status,
          text,
          headers: answered,
          isReused: req.reusedSocket,
        });
      const req = http.request(
        {
          host: this.ip,
          port: this.ports.outbound,
          method,
          path: target,
          agent,
          headers: {
            Host: host,
            'Request-Id': id,
            'Deadline-Ms': String(deadlineMs),
            ...(body === undefined ? {} : {'Content-Length': body.length}),
            ...headers,
          },
        },
        res => {
          const chunks = [];
          res.on('data', chunk => chunks.push(chunk));
          res.on('end', () =>
            end(res.statusCode, Buffer.concat(chunks).toString(), res.headers),
          );
          res.on('error', err => end(0, err.code));
        },
      );
      req.setTimeout(deadlineMs + 2_000, () => req.destroy());
      req.on('error', err => end(0, err.code ?? 'closed'));
      req.end(body);
    });
  }
}

/** A small deployment; `machines` are rows of name, zone and service. */
export class Deployment {
  constructor(folder) {
    this.record = new Record(folder);
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.store = new Store();
    this.machines = [];
    this.timers = [];
  }

  async start(rows, {bounds, configuration, storeOf, listenOf = () => ({})}) {
    await this.store.listen();
    this.store.put('keyed.op', 'config', configuration);
    // Addresses of their own for the machines, as ports are the same on all machines of a day.
    const net2 = 16 + Math.floor(Math.random() * 200);
    const net3 = 1 + Math.floor(Math.random() * 250);
    for (const [i, [name, zone, service]] of rows.entries()) {
      const machine = new Machine(
        name,
        zone,
        service,
        `127.${net2}.${net3}.${i + 1}`,
      );
      await machine.prepare(this.record, this.folder);
      this.machines.push(machine);
    }
    for (const machine of this.machines) {
      const store =
        (await storeOf?.(machine)) ?? `127.0.0.1:${this.store.port}`;
      machine.writeSettings(store, bounds, {listen: await listenOf(machine)});
      machine.startNode();
    }
    this.every(HEARTBEAT_MS, () => {
      for (const {app} of this.machines)
        if (app.state !== 'silent') void app.beat();
    });
    await this.until(
      async () =>
        (await Promise.all(this.machines.map(m => m.isReady()))).every(Boolean),
      READY_WAIT_MS,
      'all nodes to be ready',
    );
  }

  every(ms, call) {
    call();
    this.timers.push(setInterval(call, ms));
  }

  async until(condition, limitMs, what) {
    const endMs = performance.now() + limitMs;
    while (!(await condition())) {
      if (performance.now() > endMs) throw new CannotRun(`waited for ${what}`);
      await sleep(50);
    }
  }

  get runs() {
    return this.machines.flatMap(({app}) => app.runs);
  }

  async stop() {
    for (const timer of this.timers) clearInterval(timer);
    for (const {node, agent} of this.machines) {
      agent?.destroy();
      if (node && node.exitCode === null && node.signalCode === null) {
        node.kill('SIGCONT');
        node.kill('SIGKILL');
        await node.ended;
      }
    }
    if (process.env.KEEP) console.log(`kept ${this.folder}`);
    else fs.rmSync(this.folder, {recursive: true, force: true});
    this.record.save();
  }
}

/** The case could not be played. */
export class CannotRun extends Error {}

/** Plays a case; exits with 1 if it returns true (the rule was broken), 0 if not, else with 2. */
export async function play(importUrl, run) {
  const folder = path.dirname(url.fileURLToPath(importUrl));
  const deployment = new Deployment(folder);
  const trouble = process.env.TROUBLE !== '0';
  deployment.record.say(
    trouble ? 'with the disruption' : 'without the disruption',
  );
  let status = 2;
  try {
    const broken = await run(deployment, trouble);
    deployment.record.say(broken ? 'the rule was BROKEN' : 'the rule was kept');
    status = broken ? 1 : 0;
  } catch (err) {
    deployment.record.say(`could not run: ${err.stack}`);
  }
  await deployment.stop();
  process.exit(status);
}

/** A configuration as the operator writes it. */
export function configurationOf(version, {routes, services, ...more}) {
  return {
    version,
    routes: routes.map(route => ({
      route_kind: 'safe',
      timeout_s: 2,
      target_latency_s: 0.6,
      priority: 2,
      attempts: 2,
      ...route,
    })),
    services: services.map(name => ({
      name,
      health_path: '/healthz',
      max_conns: 220,
      protocol: 'h1',
      cold_start_s: 3,
      cold_per_s: 30,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout_s: 5,
      idle_timeout_s: 20,
    },
    ...more,
  };
}

export async function listenOn(server, host, port = 0) {
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}

async function freePort(ip) {
  const server = net.createServer();
  await listenOn(server, ip);
  const {port} = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

function get(host, port, target) {
  return new Promise(resolve => {
    const req = http.get(
      {host, port, path: target, agent: false, timeout: 1_000},
      res => {
        res.resume();
        resolve(res.statusCode);
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(0));
  });
}

/** Relays connections to an address. */
export class Relay {
  constructor(toHost, toPort) {
    Object.assign(this, {toHost, toPort});
    this.pairs = new Set();
    this.server = net.createServer({allowHalfOpen: true}, incoming =>
      this.accept(incoming),
    );
    /** Decides by the first bytes of a connection whether it is held up. */
    this.isHeld = () => false;
  }

  async listen(host = '127.0.0.1') {
    await listenOn(this.server, host);
    return `${host}:${this.server.address().port}`;
  }

  accept(incoming) {
    const outgoing = net.connect({
      host: this.toHost,
      port: this.toPort,
      allowHalfOpen: true,
    });
    const pair = {
      incoming,
      outgoing,
      first: undefined,
      silent: false,
      held: [],
    };
    this.pairs.add(pair);
    const pass = (from, to) => {
      from.on('data', data => {
        if (from === incoming) pair.first ??= data;
        this.pass(pair, () => to.write(data));
      });
      from.on('end', () => this.pass(pair, () => to.end()));
      from.on('error', () => undefined);
      from.on('close', () => {
        this.pass(pair, () => to.destroy());
        if (pair.silent) to.destroy();
        if (incoming.destroyed && outgoing.destroyed) this.pairs.delete(pair);
      });
    };
    pass(incoming, outgoing);
    pass(outgoing, incoming);
  }

  pass(pair, act) {
    if (pair.silent) return;
    if (pair.held.length > 0 || this.isHeld(pair)) pair.held.push(act);
    else act();
  }

  /** Passes on what was held up, in order. */
  release() {
    this.isHeld = () => false;
    for (const pair of this.pairs) for (const act of pair.held.splice(0)) act();
  }

  /** Makes the open connections silent for good, without a reset; new ones work. */
  silence() {
    const open = [...this.pairs].filter(({silent}) => !silent);
    for (const pair of open) pair.silent = true;
    return open.length;
  }
}
