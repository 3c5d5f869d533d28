import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as randomSource from '../../src/common/random_source.js';
import * as workspace from '../../src/common/workspaces/workspace.js';
import * as quotaFleet from '../fakes/quota_fleet.js';

const {test} = nodeTest;

const SETTLED_MS = 5_000;
const END_MS = 35_000;

/** Share of requests below the limit that may be refused. */
const MAX_REFUSED = 0.02;

const SHOP = quotaFleet.workspaceOf('shop', 100, 50);

function makeFleet(
  nodes: number,
  options: Partial<quotaFleet.QuotaFleetOptions> = {},
): quotaFleet.QuotaFleet {
  return new quotaFleet.QuotaFleet({
    seed: 1,
    nodes,
    workspaces: [SHOP],
    ...options,
  });
}

function checkBound(
  fleet: quotaFleet.QuotaFleet,
  name: string,
  quota: workspace.Quota,
): void {
  const highest = quotaFleet.highestWindow(fleet.tally(name).admittedMs);
  const allowed = quotaFleet.allowedIn(quota);
  assert.ok(highest <= allowed, `${name}: ${highest} of ${allowed} allowed`);
}

function checkServed(
  fleet: quotaFleet.QuotaFleet,
  name: string,
  max = MAX_REFUSED,
): void {
  const {refusedShare, asked} = fleet.tally(name);
  assert.ok(asked > 0);
  assert.ok(refusedShare <= max, `${name}: ${refusedShare} of ${asked}`);
}

// Fixed shares of the rate refuse requests that come at random times at random nodes.
for (const nodes of [11, 61, 300]) {
  test(`90% of a limit over ${nodes} nodes is served`, () => {
    const fleet = makeFleet(nodes);
    fleet.load('shop', 90, SETTLED_MS, END_MS);
    fleet.clock.runUntil(END_MS);
    checkServed(fleet, 'shop');
    checkBound(fleet, 'shop', SHOP.quota!);
  });
}

// Tokens that are asked for ahead and expire would take more than the 10% that are left.
for (const rate of [1, 2, 5]) {
  test(`90% of a limit of ${rate}/s over 61 nodes is served`, () => {
    const small = quotaFleet.workspaceOf('small', rate, rate);
    const fleet = makeFleet(61, {workspaces: [small]});
    // The bucket is full at the start of the load, as that of an idle workspace.
    const endMs = 15_000 + 1_500_000 / rate;
    fleet.load('small', 0.9 * rate, 15_000, endMs);
    fleet.clock.runUntil(endMs);
    checkServed(fleet, 'small');
    checkBound(fleet, 'small', small.quota!);
  });
}

// Entries that count alone admit the limit at each node.
test('five times the limit is held to the bound, at one node and over all', () => {
  for (const spread of [false, true]) {
    const fleet = makeFleet(61);
    const [one] = fleet.nodes;
    fleet.load('shop', 500, 0, END_MS, () => (spread ? fleet.anyNode() : one));
    fleet.clock.runUntil(END_MS);
    checkBound(fleet, 'shop', SHOP.quota!);
    const served = fleet.tally('shop').admittedMs.length;
    assert.ok(served >= (0.9 * 100 * END_MS) / 1_000, `${served} served`);
  }
});

// Shares that follow the demand of the last seconds refuse callers at their new place.
test('callers that move to another data centre within a second are served', () => {
  const fleet = makeFleet(61);
  const nodesOf = (dataCentre: number) =>
    fleet.nodes.filter(node => node.dataCentre === dataCentre);
  fleet.load('shop', 90, SETTLED_MS, END_MS, () => {
    const dataCentre = fleet.clock.nowMs < 20_000 ? 0 : 1;
    const nodes = nodesOf(dataCentre);
    return nodes[Math.floor(fleet.clock.nowMs * 7) % nodes.length];
  });
  fleet.clock.runUntil(END_MS);
  checkServed(fleet, 'shop');
  checkBound(fleet, 'shop', SHOP.quota!);
});

// A bucket that keeps the tokens of the former limit exceeds the new one.
test('a lower limit holds from one window after all nodes know it', () => {
  const fleet = makeFleet(61);
  const lower = quotaFleet.workspaceOf('shop', 20, 5);
  fleet.load('shop', 150, 0, END_MS);
  fleet.clock.at(15_000, () => {
    for (const node of fleet.nodes) fleet.configure(node, [lower]);
  });
  fleet.clock.runUntil(END_MS);
  const later = fleet.tally('shop').admittedMs.filter(ms => ms >= 15_000);
  const highest = quotaFleet.highestWindow(later);
  assert.ok(highest <= quotaFleet.allowedIn(lower.quota!), `${highest}`);
});

// A bucket that is created empty when it is first asked refuses the first requests.
test('a hundred idle workspaces that wake within a second are served', () => {
  const workspaces = Array.from({length: 100}, (unused, i) =>
    quotaFleet.workspaceOf(`w${i}`, 2, 4),
  );
  const fleet = makeFleet(61, {workspaces});
  const random = new randomSource.SeededRandom(1);
  for (const {name} of workspaces) {
    fleet.load(name, 1.8, 20_000 + random.nextInt(1_000), END_MS);
  }
  fleet.clock.runUntil(END_MS);
  let [asked, refused] = [0, 0];
  for (const {name, quota} of workspaces) {
    asked += fleet.tally(name).asked;
    refused += fleet.tally(name).refused;
    checkBound(fleet, name, quota!);
  }
  assert.ok(refused <= MAX_REFUSED * asked, `${refused} of ${asked}`);
});

// An owner that has not got the version yet would refuse the requests of its workspace.
test('a workspace that is new in a version is served before its owner knows it', () => {
  const fleet = makeFleet(61);
  const fresh = quotaFleet.workspaceOf('fresh', 10, 10);
  const owner = fleet.ownerOf('fresh');
  const others = fleet.nodes.filter(node => node !== owner);
  fleet.clock.at(10_000, () => {
    for (const node of others) fleet.configure(node, [SHOP, fresh]);
  });
  fleet.clock.at(12_000, () => fleet.configure(owner, [SHOP, fresh]));
  let i = 0;
  fleet.load('fresh', 9, 10_000, 20_000, () => others[i++ % others.length]);
  fleet.clock.runUntil(20_000);
  checkServed(fleet, 'fresh');
  checkBound(fleet, 'fresh', fresh.quota!);
});

/** A failure at 15 s under 90% of the limit; returns the share refused afterwards. */
function refusedAfter(
  fail: (fleet: quotaFleet.QuotaFleet, owner: quotaFleet.QuotaNode) => void,
  perSecond = 90,
): quotaFleet.QuotaFleet {
  const fleet = makeFleet(61);
  fleet.load('shop', perSecond, SETTLED_MS, END_MS);
  fleet.clock.at(15_000, () => fail(fleet, fleet.ownerOf('shop')));
  fleet.clock.runUntil(END_MS);
  return fleet;
}

type Failure = (
  fleet: quotaFleet.QuotaFleet,
  owner: quotaFleet.QuotaNode,
) => void;

const FAILURES: ReadonlyArray<readonly [string, number, Failure]> = [
  ['its owner is killed', 0.1, (fleet, owner) => fleet.kill(owner)],
  [
    'its owner is restarted',
    0.1,
    (fleet, owner) => {
      fleet.kill(owner);
      fleet.clock.after(1_000, () => fleet.start(owner));
    },
  ],
  ['its owner freezes', 0.1, (fleet, owner) => fleet.freeze(owner, 3_000)],
  [
    'the link from its owner to an entry is cut one way',
    0.05,
    (fleet, owner) => {
      const other = fleet.nodes.find(node => node !== owner);
      fleet.connects = (from, to) => !(from === owner && to === other);
      fleet.updateLinks();
    },
  ],
  [
    "its owner's data centre is lost",
    0.5,
    (fleet, owner) => {
      for (const node of fleet.nodes) {
        if (node.dataCentre === owner.dataCentre) fleet.kill(node);
      }
    },
  ],
  [
    'a grant is lost',
    MAX_REFUSED,
    fleet => {
      let lost = false;
      fleet.drops = (from, to, kind) => {
        const isFirst = kind === 'grant' && !lost;
        lost ||= isFirst;
        return isFirst;
      };
    },
  ],
  [
    'half of the fleet is cut off',
    0.3,
    fleet => {
      const half = new Set(fleet.nodes.slice(30));
      fleet.connects = (from, to) => half.has(from) === half.has(to);
      fleet.updateLinks();
    },
  ],
];

for (const [what, maxRefused, fail] of FAILURES) {
  test(`a workspace stays within the bound and is served when ${what}`, () => {
    const below = refusedAfter(fail);
    checkServed(below, 'shop', maxRefused);
    checkBound(below, 'shop', SHOP.quota!);
    const above = refusedAfter(fail, 300);
    checkBound(above, 'shop', SHOP.quota!);
  });
}

// Each owner starts with an empty bucket, so that no start adds a burst.
test('a fleet started at once serves within seconds, within the bound', () => {
  const fleet = makeFleet(61);
  fleet.load('shop', 90, 0, END_MS);
  fleet.clock.runUntil(END_MS);
  checkServed(fleet, 'shop');
  checkBound(fleet, 'shop', SHOP.quota!);
});

/** Time for which a request may wait that has an objective of 800 ms. */
const WAIT_MS = 320;

// A question that was not answered within 150 ms was taken for a quota that is used up.
test('an owner whose answers are late refuses no requests below the limit', () => {
  for (const nodes of [11, 61]) {
    const fleet = makeFleet(nodes, {jitterMs: 150, maxWaitMs: WAIT_MS});
    fleet.load('shop', 60, SETTLED_MS, END_MS);
    fleet.clock.runUntil(END_MS);
    checkServed(fleet, 'shop');
    checkBound(fleet, 'shop', SHOP.quota!);
  }
});

// A node that cannot reach an owner whom the others reach grants for all that it reaches itself.
test('a node cut off one way from an owner does not grant beside it', () => {
  for (let seed = 1; seed <= 8; seed++) {
    const shop = quotaFleet.workspaceOf('shop', 20, 0);
    const fleet = makeFleet(9, {seed, workspaces: [shop]});
    const cut = fleet.nodes[8];
    const unreached = new Set(fleet.nodes.slice(0, 4));
    fleet.connects = (from, to) => from !== cut || !unreached.has(to);
    fleet.updateLinks();
    fleet.load('shop', 120, 0, END_MS);
    fleet.clock.runUntil(END_MS);
    checkBound(fleet, 'shop', shop.quota!);
  }
});

// Each side of a cut granted a whole burst (review/3).
test('both sides of a cut together stay within the bound after idle seconds', () => {
  for (let seed = 1; seed <= 8; seed++) {
    const shop = quotaFleet.workspaceOf('shop', 60, 150);
    const fleet = makeFleet(9, {seed, workspaces: [shop]});
    const side = new Set(fleet.nodes.slice(0, seed));
    fleet.clock.at(5_000, () => {
      fleet.connects = (from, to) => side.has(from) === side.has(to);
      fleet.updateLinks();
    });
    fleet.load('shop', 450, 15_000, END_MS);
    fleet.clock.runUntil(END_MS);
    checkBound(fleet, 'shop', shop.quota!);
  }
});
