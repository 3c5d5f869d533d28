import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as serving from '../../generated/serving.js';
import * as fixtures from './rollout_fixtures.test.js';
import * as rolloutPhase from './rollout_phase.js';
import * as rolloutOrders from './rollout_orders.js';

const {test} = nodeTest;

const {RolloutPhase} = serving;
const VERSIONS = [
  'v1',
  'v1',
  'v1',
  'v1',
  'v1',
  'v1',
  fixtures.TARGET,
  fixtures.TARGET,
];

function phasesOf(fleet: fixtures.Fleet): ReadonlySet<serving.RolloutPhase> {
  const phases = fleet.nodes.map(n => n.rollouts.inForce[0]?.phase);
  return new Set(phases);
}

function targets(fleet: fixtures.Fleet): readonly fixtures.Node[] {
  return fleet.nodes.filter(({version}) => version === fixtures.TARGET);
}

function exposed(fleet: fixtures.Fleet): number {
  return targets(fleet).reduce((sum, {started}) => sum + started, 0);
}

function requests(fleet: fixtures.Fleet): number {
  return fleet.nodes.reduce((sum, {started}) => sum + started, 0);
}

function ordered(versions: readonly string[] = VERSIONS): fixtures.Fleet {
  const fleet = new fixtures.Fleet(versions);
  fleet.order(fixtures.record(1));
  return fleet;
}

test('without an order nothing is closed, limited or reported', () => {
  const fleet = new fixtures.Fleet(VERSIONS);
  fleet.advance(5_000);
  for (const node of fleet.nodes) {
    assert.equal(node.started, 20 * node.load);
    assert.deepEqual(node.rollouts.reports(5_000), []);
    assert.equal(node.rollouts.drawsTarget(fixtures.SERVICE), false);
  }
});

test('a good version moves, and the others close only before the deadline', () => {
  const fleet = ordered();
  fleet.advance(10_000);
  assert.deepEqual([...phasesOf(fleet)], [RolloutPhase.CANARY]);
  assert.ok(exposed(fleet) <= 0.1 * requests(fleet) + 50);
  fleet.advance(9_000);
  assert.deepEqual([...phasesOf(fleet)], [RolloutPhase.CLOSING]);
  const [old] = fleet.nodes;
  const {started} = old;
  fleet.advance(1_000);
  assert.equal(old.started, started);
});

test('done waits for requests that run at an old server', () => {
  const fleet = ordered();
  fleet.nodes[3].open = 1;
  fleet.advance(19_000);
  const [decider] = fleet.nodes;
  assert.equal(decider.rollouts.inForce[0].isMoved(fleet.nowMs), false);
  assert.match(decider.rollouts.inForce[0].waitsFor, /node-3/);
  fleet.nodes[3].open = 0;
  fleet.advance(500);
  assert.equal(decider.rollouts.inForce[0].isMoved(fleet.nowMs), true);
});

test('a version that fails is rolled back by a decider that takes over from a killed one', () => {
  const fleet = ordered();
  for (const node of targets(fleet)) node.failureShare = 0.6;
  fleet.advance(1_500);
  fleet.nodes[0].isFrozen = true;
  fleet.advance(8_000);
  const [, ...others] = fleet.nodes;
  for (const node of others) {
    assert.equal(node.rollouts.inForce[0].phase, RolloutPhase.ROLLING_BACK);
  }
  for (const node of targets(fleet)) assert.ok(node.rollouts.isGateClosed);
});

test('a decider that resumes after a pause does not undo the move by others', () => {
  const fleet = ordered();
  fleet.advance(5_000);
  fleet.nodes[0].isFrozen = true;
  fleet.advance(13_500);
  fleet.nodes[0].isFrozen = false;
  fleet.advance(3_000);
  assert.deepEqual([...phasesOf(fleet)], [RolloutPhase.CLOSING]);
});

test('a decider that is cut off from the other nodes ends nothing', () => {
  const fleet = ordered();
  fleet.advance(3_000);
  fleet.nodes[0].isCut = true;
  fleet.advance(16_000);
  const {phase} = fleet.nodes[0].rollouts.inForce[0];
  assert.equal(phase, RolloutPhase.CANARY);
  assert.equal(fleet.nodes[1].rollouts.inForce[0].phase, RolloutPhase.CLOSING);
});

test('a gate of the target version that hears nobody starts nothing after the rollback time', () => {
  const fleet = ordered();
  fleet.advance(3_000);
  const [node] = targets(fleet);
  node.isCut = true;
  node.readsStore = false;
  fleet.advance(fixtures.BOUNDS.rollbackMs + 500);
  const {started} = node;
  fleet.advance(3_000);
  assert.equal(node.started, started);
});

test('while the store answers nobody, a bad version is closed and a good one is not moved', () => {
  for (const failureShare of [0, 0.6]) {
    const fleet = ordered();
    for (const node of fleet.nodes) node.readsStore = false;
    for (const node of targets(fleet)) node.failureShare = failureShare;
    fleet.advance(19_000);
    const expected =
      failureShare > 0 ? RolloutPhase.ROLLING_BACK : RolloutPhase.CANARY;
    assert.deepEqual([...phasesOf(fleet)], [expected]);
    for (const node of fleet.nodes) node.readsStore = true;
  }
});

test('an order without servers of its version is rolled back before the deadline', () => {
  const fleet = ordered(['v1', 'v1', 'v1']);
  fleet.advance(17_000);
  assert.deepEqual([...phasesOf(fleet)], [RolloutPhase.CANARY]);
  fleet.advance(2_500);
  assert.deepEqual([...phasesOf(fleet)], [RolloutPhase.ROLLING_BACK]);
  assert.ok(!fleet.nodes[0].rollouts.isGateClosed);
});

test('an order for the only version that runs takes no requests from it', () => {
  const fleet = ordered(['v2', 'v2', 'v2']);
  fleet.advance(1_000);
  const before = requests(fleet);
  fleet.advance(18_000);
  assert.equal(requests(fleet) - before, 18 * 4 * 3 * 5);
  assert.ok(fleet.nodes[0].rollouts.inForce[0].isMoved(fleet.nowMs));
});

test('a rolled back version stays closed when its order is withdrawn, until it is ordered again', () => {
  const fleet = ordered();
  for (const node of targets(fleet)) node.failureShare = 1;
  fleet.advance(8_000);
  const [target] = targets(fleet);
  assert.ok(target.rollouts.isGateClosed);
  fleet.order(fixtures.withdrawal(2));
  assert.ok(target.rollouts.isGateClosed);
  fleet.order(fixtures.record(3));
  assert.ok(!target.rollouts.isGateClosed);
});

test('an order that is withdrawn before its end leaves the version open', () => {
  const fleet = ordered();
  fleet.advance(3_000);
  fleet.order(fixtures.withdrawal(2));
  const [target] = targets(fleet);
  const {started} = target;
  fleet.advance(1_000);
  assert.equal(target.started - started, 4 * target.load);
});

test('a node that learns an order from a peer gets the time left with it', () => {
  const orders = new rolloutOrders.RolloutOrders();
  orders.apply(fixtures.record(1), 1_000);
  const peer = new rolloutOrders.RolloutOrders();
  peer.merge(orders.list(6_000), {era: 0, offset: 1}, 100);
  const deadlineMs = fixtures.DURATION_MS - 5_000 + 100;
  assert.equal(peer.of(fixtures.SERVICE)?.deadlineMs, deadlineMs);
});

test('stale reads undo no order, and one that the store has lost stays in force', () => {
  const orders = new rolloutOrders.RolloutOrders();
  orders.apply(fixtures.record(5), 0);
  assert.equal(orders.apply(fixtures.record(4, 'v9'), 1), false);
  assert.equal(orders.merge([], {era: 1, offset: 3}, 2), false);
  assert.equal(orders.of(fixtures.SERVICE)?.targetVersion, fixtures.TARGET);
  assert.equal(orders.apply(fixtures.record(2, fixtures.TARGET, 1), 3), false);
  assert.equal(orders.apply(fixtures.withdrawal(3, 1), 4), true);
  assert.equal(orders.of(fixtures.SERVICE), undefined);
});

test('no way leads back from an end, and exposure stays bounded, seed 23', () => {
  const event = fc.record({
    kind: fc.constantFrom('freeze', 'cut', 'store', 'fail', 'slow', 'load'),
    node: fc.nat(VERSIONS.length - 1),
    forMs: fc.integer({min: 1, max: 16}).map(quarters => quarters * 250),
  });
  fc.assert(
    fc.property(fc.array(event, {maxLength: 25}), events => {
      const fleet = ordered();
      const highest: serving.RolloutPhase[] = fleet.nodes.map(
        () => RolloutPhase.CANARY,
      );
      const check = (): void => {
        const isMoved = highest.some(phase => phase === RolloutPhase.MOVING);
        if (!isMoved && !highest.includes(RolloutPhase.CLOSING)) {
          assert.ok(exposed(fleet) <= 0.1 * requests(fleet) + 50);
        }
        for (const [i, node] of fleet.nodes.entries()) {
          const {phase} = node.rollouts.inForce[0];
          const ranks = [phase, highest[i]].map(rolloutPhase.rankOf);
          assert.ok(ranks[0] >= ranks[1], `${phase} after ${highest[i]}`);
          highest[i] = phase;
        }
      };
      for (const {kind, node, forMs} of events) {
        strike(fleet.nodes[node], kind);
        for (let ms = 0; ms < forMs; ms += 250) {
          fleet.advance(250);
          check();
        }
      }
    }),
    {seed: 23, numRuns: 200},
  );
});

function strike(node: fixtures.Node, kind: string): void {
  switch (kind) {
    case 'freeze':
      node.isFrozen = !node.isFrozen;
      return;
    case 'cut':
      node.isCut = !node.isCut;
      return;
    case 'store':
      node.readsStore = !node.readsStore;
      return;
    case 'fail':
      node.failureShare = 0.5 - node.failureShare;
      return;
    case 'slow':
      node.durationMs = 500 - node.durationMs;
      return;
    default:
      node.load = 12 - node.load;
  }
}
