import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as documents from '../stand_ins/platform/documents.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const GRACE_S = 6;

/** The route's timeout and callers' deadline, longer than the grace. */
const TIMEOUT_S = 8;

/** Requests in progress at a time that the servers have slots for. */
const FEW = 6;

/** Time after the signal in which the readiness checks of callers may not have failed twice. */
const READY_MS = 2_300;

/** Time before the kill in which callers are answered. */
const END_MS = 500;

/** A node that stops, with callers of a service whose servers are beside two other nodes. */
function startFleet(
  overrides: object = {},
): Promise<platformFleet.PlatformFleet> {
  const limits = {timeout_s: TIMEOUT_S, ...overrides};
  return platformFleet.PlatformFleet.start(3, {
    services: ['maps'],
    settings: {bounds: {grace_s: GRACE_S}},
    configuration: {
      routes: [
        documents.addedRoute('history', limits),
        documents.addedRoute('place', {...limits, route_kind: 'unsafe'}),
      ],
      services: ['maps', 'orders'].map(documents.service),
    },
  });
}

interface Outcome {
  readonly id: string;
  readonly isRepeatable: boolean;
  readonly sentMs: number;
  /** Status of the answer, or code of the connection's error. */
  readonly end: string;
}

/** Sends requests to a node until its process has ended, and collects their outcomes. */
class SteadyCallers {
  readonly outcomes: Outcome[] = [];
  private readonly sends: Array<Promise<void>> = [];
  private readonly timer: NodeJS.Timeout;
  private readonly agent = new http.Agent({keepAlive: true, maxSockets: 60});

  constructor(
    private readonly fleet: platformFleet.PlatformFleet,
    private readonly node: platformFleet.FleetNode,
    intervalMs: number,
  ) {
    this.timer = setInterval(
      () => this.sends.push(this.send(this.sends.length)),
      intervalMs,
    );
  }

  async finish(): Promise<readonly Outcome[]> {
    await this.node.process.exitStatus();
    clearInterval(this.timer);
    await Promise.all(this.sends);
    this.agent.destroy();
    return this.outcomes;
  }

  private async send(i: number): Promise<void> {
    const id = `s${i}`;
    const isRepeatable = i % 2 === 1;
    const sentMs = performance.now();
    const req = {
      id,
      method: 'POST',
      path: isRepeatable ? '/history/1' : '/place/1',
      body: 'order',
      deadlineMs: TIMEOUT_S * 1_000,
      agent: i % 3 === 0 ? this.agent : undefined,
    };
    let end: string;
    try {
      end = String((await this.fleet.send(this.node, req)).status);
    } catch (err) {
      end = (err as NodeJS.ErrnoException).code ?? String(err);
    }
    this.outcomes.push({id, isRepeatable, sentMs, end});
  }
}

const LOADS = [
  {workMs: 300, inProgress: FEW},
  {workMs: 1_200, inProgress: FEW},
  {workMs: 2_400, inProgress: FEW},
  {workMs: 2_400, inProgress: 40},
];

for (const {workMs, inProgress} of LOADS) {
  test(`a planned stop breaks off none of ${inProgress} requests of ${workMs} ms at a time`, async () => {
    await using fleet = await startFleet();
    const [node] = fleet.nodes;
    for (const {server} of fleet.nodes) server.mode = {kind: 'ok', workMs};
    const callers = new SteadyCallers(fleet, node, workMs / inProgress);
    await timers.setTimeout(2 * workMs + 1_000);
    node.process.signal('SIGTERM');
    const stoppedMs = performance.now();
    const outcomes = await callers.finish();
    assert.equal(await node.process.exitStatus(), 0);
    for (const {id, isRepeatable, sentMs, end} of outcomes) {
      const what = `${id}, sent ${Math.round(sentMs - stoppedMs)} ms after the signal: ${end}`;
      const runs = fleet.runsOf(id);
      // A request that may be repeated may run at a second server too.
      const isWhole = end === '200' && (runs === 1 || isRepeatable);
      if (!isWhole) assert.equal(runs, 0, what);
      // Otherwise the connection was refused, or closed before the request was read.
      if (!end.startsWith('EC')) assert.ok(['200', '503'].includes(end), what);
    }
    if (inProgress > FEW) return;
    const fitsUntilMs = GRACE_S * 1_000 - END_MS - 1.5 * workMs;
    const refused = outcomes.filter(
      ({sentMs, end}) =>
        sentMs < stoppedMs + Math.min(READY_MS, fitsUntilMs) && end !== '200',
    );
    assert.deepEqual(refused, []);
  });
}

test('a planned stop answers callers that still send a body', async () => {
  await using fleet = await startFleet();
  const [node] = fleet.nodes;
  const [host, port] = node.callers.split(':');
  const upload = async (id: string): Promise<string> => {
    const req = http.request({
      host,
      port,
      method: 'POST',
      path: '/place/1',
      headers: {
        Host: documents.HOST,
        'Request-Id': id,
        'Deadline-Ms': TIMEOUT_S * 1_000,
        'Content-Length': 36_000,
      },
    });
    const ended = new Promise<string>(resolve => {
      req.on('response', res => {
        res.resume();
        resolve(String(res.statusCode));
      });
      req.on('error', err =>
        resolve((err as NodeJS.ErrnoException).code ?? err.message),
      );
    });
    for (let sent = 0; sent < 18 && !req.destroyed; sent++) {
      req.write(Buffer.alloc(2_000));
      await timers.setTimeout(100);
    }
    req.end();
    return await ended;
  };
  node.process.signal('SIGTERM');
  const ends: Array<Promise<string>> = [];
  for (let i = 0; i < 45; i++) {
    ends.push(upload(`u${i}`));
    await timers.setTimeout(115);
  }
  assert.equal(await node.process.exitStatus(), 0);
  const all = await Promise.all(ends);
  // The last ones come when the port is closed.
  const allowed = ['200', '503', 'ECONNREFUSED'];
  const unanswered = all.filter(end => !allowed.includes(end));
  assert.deepEqual(unanswered, []);
});
