import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

/** Time after the acknowledgement from which a server that leaves gets no request. */
const DRAIN_MS = 2_000;

const SENDING_MS = 2_600;

const START_TIMEOUT_MS = 15_000;

/** How the node beside a server that leaves, and others, end and start again. */
interface Restart {
  readonly title: string;
  readonly signal: NodeJS.Signals;
  /** Time from the acknowledgement until the signal. */
  readonly afterMs: number;
  readonly all: boolean;
  /** How the server leaves. */
  readonly how: 'deregisters' | 'announces';
  /** Whether the server's health checks pass all the while. */
  readonly leavesHealthy: boolean;
  /** Whether the late heartbeat comes while the node starts. */
  readonly whileStarting: boolean;
}

const DEFAULTS: Omit<Restart, 'title'> = {
  signal: 'SIGKILL',
  afterMs: 300,
  all: false,
  how: 'deregisters',
  leavesHealthy: false,
  whileStarting: false,
};

const RESTARTS: readonly Restart[] = [
  {...DEFAULTS, title: 'its node is killed'},
  {
    ...DEFAULTS,
    title: 'its node is killed right after the acknowledgement',
    afterMs: 20,
  },
  {
    ...DEFAULTS,
    title: 'its node is stopped and started again',
    signal: 'SIGTERM',
  },
  {...DEFAULTS, title: 'it announced its leaving', how: 'announces'},
  {...DEFAULTS, title: 'all nodes are killed', all: true},
  {
    ...DEFAULTS,
    title: 'its health checks pass and other nodes were told',
    leavesHealthy: true,
  },
  {
    ...DEFAULTS,
    title: 'the heartbeat comes while the node starts',
    whileStarting: true,
  },
];

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

for (const restart of RESTARTS) {
  // A late heartbeat opened the gate of a restarted node to a server that had left.
  test(`a late heartbeat brings a server that has left no requests: ${restart.title}`, async () => {
    await using fleet = await platformFleet.PlatformFleet.start(3);
    const [node] = fleet.nodes;
    const {server} = node;
    server.leavesHealthy = restart.leavesHealthy;
    server.deregistered = true;
    const sendLate = server.prepareAnnouncement(node.control);
    const left =
      restart.how === 'deregisters'
        ? server.deregister(node.control)
        : server.announce(node.control, 'draining');
    assert.equal(await left, 200);
    const leftMs = performance.now();
    await pause(restart.afterMs);
    const ended = restart.all ? [...fleet.nodes] : [node];
    for (const {process} of ended) process.signal(restart.signal);
    await Promise.all(ended.map(({process}) => process.exitStatus()));
    const restarted = ended.map(each => fleet.restart(each));
    if (restart.whileStarting) await sendUntilTaken(sendLate);
    await Promise.all(restarted);
    if (!restart.whileStarting) assert.equal(await sendLate(), 200);

    const late: string[] = [];
    server.onRun = ({requestId}) => {
      if (performance.now() > leftMs + DRAIN_MS) late.push(requestId);
    };
    let served = 0;
    const endMs = performance.now() + SENDING_MS;
    for (let i = 0; performance.now() < endMs; i++) {
      const at = fleet.nodes[i % fleet.nodes.length];
      const {status} = await fleet.send(at, {id: `late-${i}`});
      if (status === 200) served++;
      await pause(20);
    }
    assert.deepEqual(late, []);
    assert.ok(served > 20, `${served} requests served`);
  });
}

test('a new incarnation with the id of one that has left is used by a restarted node', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const [node] = fleet.nodes;
  const {server} = node;
  assert.equal(await server.deregister(node.control), 200);
  await pause(300);
  node.process.signal('SIGKILL');
  await node.process.exitStatus();
  const restarted = await fleet.restart(node);
  server.startAgain();
  assert.equal(await server.announce(node.control), 200);
  await pause(500);
  const before = server.runs.length;
  for (let i = 0; i < 20; i++) await fleet.send(restarted, {id: `new-${i}`});
  assert.ok(server.runs.length > before);
});

/** Sends an announcement until the node, which is starting, acknowledges it. */
function sendUntilTaken(send: () => Promise<number>): Promise<void> {
  return child.waitUntil(
    async () => (await send().catch(() => 0)) === 200,
    START_TIMEOUT_MS,
    () => 'the node to acknowledge the announcement',
  );
}
