import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';

import * as quotaFleet from '../../../test/fakes/quota_fleet.js';

const {test} = nodeTest;

const SEED = Number(process.env['SEED'] ?? 7);

const LENGTH_MS = 30_000;
const NODES = 9;

/** A failure of one kind at a time. */
const EVENT = fastCheck.record({
  atMs: fastCheck.integer({min: 0, max: LENGTH_MS}),
  node: fastCheck.nat({max: NODES - 1}),
  kind: fastCheck.constantFrom(
    'kill',
    'start',
    'freeze',
    'partition',
    'cut',
    'heal',
  ),
  size: fastCheck.integer({min: 1, max: NODES - 1}),
});

const RUN = fastCheck.record({
  seed: fastCheck.integer({min: 1, max: 1_000_000}),
  rate: fastCheck.constantFrom(1, 5, 20, 50),
  burst: fastCheck.constantFrom(0, 5, 50),
  overload: fastCheck.constantFrom(1, 3, 6),
  oneNode: fastCheck.boolean(),
  loss: fastCheck.constantFrom(0, 0.05, 0.3),
  duplicates: fastCheck.constantFrom(0, 0.3),
  jitterMs: fastCheck.constantFrom(1, 40, 200),
  events: fastCheck.array(EVENT, {maxLength: 5}),
});

type Run = typeof RUN extends fastCheck.Arbitrary<infer T> ? T : never;

function apply(
  fleet: quotaFleet.QuotaFleet,
  {node: i, kind, size}: Run['events'][number],
): void {
  const node = fleet.nodes[i];
  const side = new Set(fleet.nodes.slice(0, size));
  switch (kind) {
    case 'kill':
      return fleet.kill(node);
    case 'start':
      return node.isUp ? undefined : fleet.start(node);
    case 'freeze':
      return fleet.freeze(node, 300 * size);
    case 'partition':
      fleet.connects = (from, to) => side.has(from) === side.has(to);
      return fleet.updateLinks();
    case 'cut':
      fleet.connects = (from, to) => from !== node || !side.has(to);
      return fleet.updateLinks();
    case 'heal':
      fleet.connects = () => true;
      return fleet.updateLinks();
  }
}

/** Checks that no run in which the events of some kinds happen exceeds the bound. */
function checkBound(
  isIncluded: (event: Run['events'][number]) => boolean,
  seed: number,
): void {
  fastCheck.assert(
    fastCheck.property(RUN, run => {
      const shop = quotaFleet.workspaceOf('shop', run.rate, run.burst);
      const fleet = new quotaFleet.QuotaFleet({
        ...run,
        nodes: NODES,
        workspaces: [shop],
      });
      for (const event of run.events.filter(isIncluded)) {
        fleet.clock.at(event.atMs, () => apply(fleet, event));
      }
      fleet.load('shop', run.rate * run.overload, 0, LENGTH_MS, () =>
        run.oneNode ? fleet.nodes[0] : (fleet.anyNode() ?? fleet.nodes[0]),
      );
      fleet.clock.runUntil(LENGTH_MS);
      const highest = quotaFleet.highestWindow(fleet.tally('shop').admittedMs);
      const allowed = quotaFleet.allowedIn(shop.quota!);
      assert.ok(highest <= allowed, `${highest} of ${allowed}`);
    }),
    {numRuns: 300, seed},
  );
}

// Lost tokens must not be granted again, and no two nodes may grant the whole rate.
test('no delay, loss, restart or partition exceeds the bound', () => {
  checkBound(() => true, 7);
});

test('no delay, loss, restart or partition in two parts exceeds the bound', () => {
  checkBound(({kind}) => kind !== 'cut', SEED);
});
