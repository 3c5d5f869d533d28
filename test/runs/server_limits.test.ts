import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as servingFleet from '../fakes/serving_fleet.js';
import * as statedFleet from './stated_fleet.js';

const {test} = nodeTest;

const LENGTH_MS = 15_000;

function limitAll(fleet: servingFleet.ServingFleet, perSecond: number): void {
  for (const node of fleet.nodes) node.nameLimit({kind: 'named', perSecond});
}

test('a fleet sends a server several times the limit that it names', () => {
  const fleet = statedFleet.fleet({seed: 1, nodes: 8, requestsPerSecond: 6});
  fleet.clock.after(2_000, () => limitAll(fleet, 1.6));
  fleet.run(LENGTH_MS);
  assert.deepEqual(fleet.audit.check(), []);
});

/** Time in which a request that no server can start is refused, with all its redirections. */
const AT_ONCE_MS = 25;

test('callers wait for a refusal when all limits are used up, or are told to return too early', () => {
  const fleet = statedFleet.fleet({seed: 2, nodes: 8, requestsPerSecond: 6});
  const ages: number[] = [];
  const early: string[] = [];
  fleet.onRefused = (route, retryAfterMs, ageMs) => {
    const {nowMs} = fleet.clock;
    ages.push(ageMs);
    const waits = fleet.nodes
      .filter(node => node.service === route.parts[0].service)
      .map(node => node.process?.gate.load(nowMs).startWaitMs ?? Infinity);
    const firstStartMs = Math.min(...waits) - AT_ONCE_MS;
    if (retryAfterMs < firstStartMs) {
      early.push(`${retryAfterMs} ms, first start in ${firstStartMs} ms`);
    }
  };
  fleet.clock.after(1_000, () => limitAll(fleet, 1.6));
  fleet.run(LENGTH_MS);
  assert.ok(ages.length > 200, `${ages.length} refused`);
  assert.deepEqual(early, []);
  ages.sort((a, b) => a - b);
  const ageMs = ages[Math.floor(0.9 * ages.length)];
  assert.ok(ageMs <= AT_ONCE_MS, `nine in ten refused within ${ageMs} ms`);
});

test('limited servers get less than they take while callers are refused', () => {
  const perSecond = 1.6;
  const fleet = statedFleet.fleet({seed: 3, nodes: 8, requestsPerSecond: 6});
  fleet.clock.after(1_000, () => limitAll(fleet, perSecond));
  const counts: number[][] = [];
  const count = (): void =>
    void counts.push(
      fleet.nodes.map(node => fleet.audit.arrivalsAt(node.incarnation)),
    );
  fleet.clock.after(5_000, count);
  fleet.clock.after(15_000, count);
  fleet.run(LENGTH_MS);
  const [before, after] = counts;
  const taken = after.map((n, i) => n - before[i]);
  for (const n of taken) assert.ok(n >= 0.8 * perSecond * 10, taken.join());
});

test('a server stays limited after it withdraws its limit', () => {
  const fleet = statedFleet.fleet({seed: 4, nodes: 8, requestsPerSecond: 6});
  fleet.clock.after(1_000, () => limitAll(fleet, 0.8));
  fleet.clock.after(6_000, () => {
    for (const node of fleet.nodes) node.nameLimit({kind: 'none'});
  });
  let refusedLate = 0;
  fleet.onRefused = () => {
    if (fleet.clock.nowMs > 9_000) refusedLate++;
  };
  fleet.run(LENGTH_MS);
  assert.equal(refusedLate, 0);
});

/** Sizes, seeds and lengths of the runs with faults. */
const FAULT_RUNS = [
  {nodes: 8, seeds: [1, 2, 3, 4, 5, 6], lengthMs: 40_000},
  {nodes: 40, seeds: [7, 8], lengthMs: 20_000},
  {nodes: 300, seeds: [9], lengthMs: 15_000},
] as const;

for (const {nodes, seeds, lengthMs} of FAULT_RUNS) {
  test(`restarts, freezes and cuts let servers get more than they stated, ${nodes} nodes`, () => {
    for (const seed of seeds) {
      const options = {seed, nodes, requestsPerSecond: 6};
      const breaches = statedFleet.runWithFaults(options, lengthMs);
      assert.deepEqual(breaches, [], `seed ${seed}`);
    }
  });
}

// Gates sent what had waited during a freeze, though the limit had been lowered meanwhile.
for (const seed of [2096, 2357]) {
  test(`a limit that is lowered during a freeze of its gate holds, seed ${seed}`, () => {
    const options = {seed, nodes: 8, requestsPerSecond: 6};
    assert.deepEqual(statedFleet.runWithFaults(options, 40_000), []);
  });
}
