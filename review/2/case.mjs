/** DRAIN: the node of a server that has left restarts, then a late heartbeat arrives. */
import * as http from 'node:http';

import * as lib from '../lib/fleet.mjs';

const DRAIN_MS = 2_000;
const CONTACT_MS = 3_000;
const WORK_MS = 20;
const GAP_MS = 100;

/** Time for which the heartbeat that was sent before the departure is held up. */
const LATE_MS = 3_000;

/** Time from the acknowledgement until the server exits. */
const SERVES_ON_MS = 14_000;

const KILL_AFTER_MS = 500;
const RESTART_DELAY_MS = 500;

const machines = [
  {name: 'side-a-1', zone: 'a', service: 'orders'},
  {name: 'side-b-1', zone: 'b', service: 'orders'},
  {name: 'side-c-1', zone: 'c', service: 'orders'},
];

await lib.runCase(import.meta.dirname, async (record, makeFleet) => {
  const fleet = makeFleet({
    machines,
    configuration: lib.documents.configuration(1),
  });
  await fleet.start();
  const [, , node] = fleet.nodes;
  const {server} = node;
  const runs = [];
  for (const {name, server: each} of fleet.nodes) {
    each.mode = {kind: 'ok', workMs: WORK_MS};
    each.onRun = ({requestId}) => {
      record.line(`run ${requestId} at ${name}`);
      runs.push({id: requestId, name, atMs: lib.now()});
    };
  }
  const sentMs = new Map();
  let count = 0;
  let loading = true;
  const pending = [];
  const load = async () => {
    while (loading) {
      for (const at of fleet.nodes) {
        const id = `${at.name}-${++count}`;
        sentMs.set(id, {at, atMs: lib.now()});
        record.line(`sent ${id}`);
        const answered = fleet
          .send(at, {id, path: `/history/${count}`})
          .then(({status, error}) =>
            record.line(`answered ${id} ${status || error}`),
          );
        pending.push(answered);
      }
      await lib.sleep(GAP_MS);
    }
  };
  const loaded = load();
  await lib.sleep(3_000);

  // The last heartbeat before the departure; it is held up on its way.
  node.silent = true;
  await lib.sleep(1_500);
  const heartbeat = JSON.stringify({
    address: server.address,
    born: server.startMs,
    node_info: {
      service: server.service,
      version: server.version,
      zone: server.dataCentre,
      slot_count: 10,
    },
    status: {state: 'ready', sequence: ++server.sequence, cold_left_s: 0},
  });
  const lateMs = lib.now() + LATE_MS;
  record.line('the server sends a heartbeat, which is held up');
  await lib.sleep(500);

  // This server never reports that it is draining: it deregisters first.
  server.leavingId = server.instanceId;
  const departure = await post(
    node.control,
    `/Instances.Deregister/${server.instanceId}`,
    JSON.stringify({born: server.startMs}),
  );
  const acknowledgedMs = lib.now();
  record.say(`departure acknowledged: ${departure}`);
  if (departure !== 200) throw new Error('the departure was not acknowledged');

  await lib.sleep(KILL_AFTER_MS);
  let restartedMs = -Infinity;
  if (lib.TROUBLE) {
    record.line(`kill ${node.name}`);
    node.child.kill('SIGKILL');
    await node.exited;
    await lib.sleep(RESTART_DELAY_MS);
    fleet.spawn(node);
    await fleet.waitFor(() => fleet.isReady(node), 5_000, 'the restart');
    restartedMs = lib.now();
    record.line(`${node.name} is ready`);
  }
  await lib.sleep(lateMs - lib.now());
  const beat = await post(
    node.control,
    `/Instances.Heartbeat/${server.instanceId}`,
    heartbeat,
  );
  record.say(`late heartbeat answered: ${beat}`);
  await lib.sleep(acknowledgedMs + SERVES_ON_MS - lib.now());
  loading = false;
  await loaded;
  await Promise.all(pending);

  const broken = runs.filter(({id, name, atMs}) => {
    const sent = sentMs.get(id);
    const inTouchMs = sent.at === node ? restartedMs + CONTACT_MS : -Infinity;
    return (
      name === node.name &&
      atMs > acknowledgedMs + DRAIN_MS &&
      sent.atMs > inTouchMs &&
      atMs > restartedMs + CONTACT_MS
    );
  });
  record.say(
    `${broken.length} requests reached the server later than ${DRAIN_MS} ms ` +
      'after the acknowledgement, from machines in touch (0 allowed)',
  );
  for (const {id, atMs} of broken.slice(0, 3)) {
    const lateness = Math.round(atMs - acknowledgedMs);
    record.say(`  ${id}: ${lateness} ms after it`);
  }
  return broken.length > 0;
});

/** Sends a message of the server to its node; resolves with the status. */
function post(address, target, body) {
  return new Promise((resolve, reject) => {
    const req = http.request(
      `http://${address}${target}`,
      {method: 'POST', headers: {'Content-Type': 'application/json'}},
      res => {
        res.resume();
        resolve(res.statusCode);
      },
    );
    req.on('error', reject);
    req.end(body);
  });
}
