import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as virtualFleet from '../../../test/fakes/virtual_fleet.js';
import * as changes from '../../../test/fakes/changes.js';
import * as peer from '../../generated/peer.js';

const SEED = Number(process.env.SEED ?? 1);
console.log(`SEED=${SEED}`);

function newFleet(
  count: number,
  options: Partial<virtualFleet.FleetOptions> = {},
): virtualFleet.VirtualControlFleet {
  const fleet = new virtualFleet.VirtualControlFleet({
    seed: SEED,
    members: virtualFleet.fleetMembers(count, 8),
    ...options,
  });
  fleet.startAll(500);
  return fleet;
}

function nodesOf(
  fleet: virtualFleet.VirtualControlFleet,
): readonly virtualFleet.VirtualControlNode[] {
  return [...fleet.nodes.values()];
}

function rosterEvents(
  fleet: virtualFleet.VirtualControlFleet,
): readonly (peer.RosterEvent | undefined)[] {
  return fleet.log.appendedRecords
    .map(r => peer.LogRecord.decode(r.bytes).body)
    .map(b => (b?.$case === 'roster' ? b.value.event : undefined));
}

nodeTest.test('members join through the log', () => {
  const fleet = newFleet(8);
  fleet.runFor(10_000);
  const events = rosterEvents(fleet);
  const count = (event: peer.RosterEvent): number =>
    events.filter(e => e === event).length;
  assert.equal(count(peer.RosterEvent.JOIN), 8);
  assert.equal(count(peer.RosterEvent.GONE), 0);
  for (const {core} of nodesOf(fleet)) {
    assert.equal(core.membersOf('service-0').length, 8);
    assert.ok(core.membersOf('service-0').every(m => m.roster === 'joined'));
  }
});

nodeTest.test('a change is in force on all nodes within 3 s', () => {
  const fleet = newFleet(24);
  fleet.runFor(10_000);
  changes.publish(fleet, 'a', 0);
  const tookMs = fleet.runUntil(
    () => nodesOf(fleet).every(n => n.core.configuration?.revision === 1),
    3_000,
  );
  assert.notEqual(tookMs, undefined);
});

nodeTest.test('a dead sibling is detected within 2 s and declared gone', () => {
  const fleet = newFleet(8);
  fleet.runFor(10_000);
  fleet.kill('node-3');
  const tookMs = fleet.runUntil(
    () =>
      nodesOf(fleet).every(
        n => n.core.member('node-3')?.liveness !== peer.LivenessState.ALIVE,
      ),
    2_000,
  );
  assert.notEqual(tookMs, undefined);
  fleet.runFor(20_000);
  assert.ok(nodesOf(fleet).every(n => n.core.member('node-3') === undefined));
});

nodeTest.test(
  'a leaving node is seen as leaving on all nodes within 3 s',
  () => {
    const fleet = newFleet(24);
    fleet.runFor(10_000);
    fleet.log.reachable = false;
    fleet.stop('node-5');
    const tookMs = fleet.runUntil(
      () =>
        nodesOf(fleet).every(
          n => n.core.member('node-5')?.roster === 'leaving',
        ),
      3_000,
    );
    assert.notEqual(tookMs, undefined);
    fleet.runFor(6_000);
    const notices = fleet.nodes.get('node-5')?.notices ?? [];
    assert.ok(notices.some(n => n.notice.kind === 'left'));
  },
);

nodeTest.test(
  'during a log outage the configuration stays in force and new nodes are discovered',
  () => {
    const fleet = newFleet(8);
    fleet.runFor(10_000);
    changes.publish(fleet, 'a', 0);
    fleet.runFor(3_000);
    fleet.log.reachable = false;
    fleet.runFor(30_000);
    const [first] = fleet.options.members;
    fleet.bootstrapPeers = [first];
    const newNode = fleet.start({...first, nodeId: 'born'});
    fleet.runFor(5_000);
    assert.equal(newNode.core.configuration?.revision, 1);
    const seen = nodesOf(fleet).map(n => n.core.member('born')?.provisional);
    assert.ok(seen.every(provisional => provisional === true));
    fleet.log.reachable = true;
    fleet.runFor(15_000);
    const joined = nodesOf(fleet).map(n => n.core.member('born')?.provisional);
    assert.ok(joined.every(provisional => provisional === false));
  },
);

nodeTest.test(
  'a paused node is stale until a peer or the log confirms its view',
  () => {
    const fleet = newFleet(8);
    fleet.runFor(10_000);
    const node = fleet.nodes.get('node-2');
    assert.ok(node);
    fleet.pause('node-2', 20_000);
    fleet.runFor(20_000);
    fleet.runFor(1);
    assert.equal(node.core.stale, true);
    fleet.runFor(10_000);
    assert.equal(node.core.stale, false);
    const dead = node.notices
      .map(n => n.notice)
      .filter(n => n.kind === 'liveness')
      .filter(n => n.state === peer.LivenessState.DEAD);
    assert.deepEqual(dead, []);
  },
);

nodeTest.test('a suspect request is known on all nodes within 3 s', () => {
  const fleet = newFleet(24);
  fleet.runFor(10_000);
  const [finder] = nodesOf(fleet);
  const report = {fingerprint: 'f', deaths: 2, expiresInMs: 60_000};
  fleet.deliver(finder, {kind: 'suspect-found', report});
  const knows = (n: virtualFleet.VirtualControlNode): boolean =>
    n === finder || n.notices.some(t => t.notice.kind === 'suspect');
  const tookMs = fleet.runUntil(() => nodesOf(fleet).every(knows), 3_000);
  assert.notEqual(tookMs, undefined);
});

nodeTest.test(
  'a restarted node learns of suspect requests from the state it pulls',
  () => {
    const fleet = newFleet(8);
    fleet.runFor(10_000);
    const [finder, restarted] = nodesOf(fleet);
    const {nodeId} = restarted.member;
    const report = {fingerprint: 'f', deaths: 2, expiresInMs: 600_000};
    fleet.deliver(finder, {kind: 'suspect-found', report});
    // Gossip items are forwarded a bounded number of times; after 60 s they no longer spread.
    fleet.runFor(60_000);
    fleet.restart(nodeId);
    const knows = (): boolean =>
      fleet.nodes.get(nodeId)?.notices.some(t => t.notice.kind === 'suspect') ??
      false;
    assert.notEqual(
      fleet.runUntil(() => knows(), 5_000),
      undefined,
    );
  },
);

nodeTest.test(
  "a node that starts with a long log to read adopts a peer's state",
  () => {
    const fleet = newFleet(8);
    fleet.runFor(10_000);
    const [first] = fleet.options.members;
    const last = fleet.log.appendedRecords.at(-1) ?? assert.fail();
    const record = peer.LogRecord.decode(last.bytes);
    for (let i = 0; i < 20_000; i++) fleet.append(record);
    fleet.runFor(5_000);
    const readsBefore = fleet.log.recordsRead;
    const newNode = fleet.start({...first, nodeId: 'born'});
    const tookMs = fleet.runUntil(
      () => newNode.core.rosterOffset > 20_000,
      2_000,
    );
    assert.notEqual(tookMs, undefined);
    assert.ok(fleet.log.recordsRead - readsBefore < 10_000);
    fleet.runFor(5_000);
    const pullsBefore = fleet.traffic.pulls;
    fleet.runFor(5_000);
    assert.equal(fleet.traffic.pulls, pullsBefore);
  },
);

nodeTest.test(
  'datagrams stay within their size limit with the longest names',
  () => {
    const long = (text: string): string => text.padEnd(63, 'x');
    const members = virtualFleet.fleetMembers(24, 8).map(m => ({
      ...m,
      nodeId: long(m.nodeId),
      service: long(m.service),
      dataCentre: long(m.dataCentre),
      region: long(m.region),
    }));
    const fleet = newFleet(24, {members});
    fleet.runFor(5_000);
    fleet.log.reachable = false;
    const [first] = members;
    fleet.bootstrapPeers = [first];
    for (let i = 0; i < 4; i++) {
      fleet.kill(members[5 + i].nodeId);
      fleet.start({...first, nodeId: long(`born-${i}-`)});
      const fingerprint = long(`f${i}`);
      const report = {fingerprint, deaths: 2, expiresInMs: 60_000};
      const node = fleet.nodes.get(first.nodeId) ?? assert.fail();
      fleet.deliver(node, {kind: 'suspect-found', report});
    }
    fleet.runFor(10_000);
    const {largest} = fleet.traffic;
    assert.ok(largest > 600 && largest <= 1_200, `${largest}`);
  },
);
