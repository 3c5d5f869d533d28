import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as peer from '../../generated/peer.js';
import * as fixtures from '../entry/entry_fixtures.test.js';
import * as randomSource from '../random_source.js';
import * as router from './router.js';
import * as selector from './selector.js';

const SEED = Number(process.env['SEED'] ?? 5);
const DRAWS = 2_000;
const NONE_TRIED: ReadonlySet<string> = new Set();

function createRouter(
  fleet: fixtures.FakeFleet,
  settings: selector.SelectorSettings = {kind: 'redirect'},
): router.Router {
  return new router.Router({
    here: {nodeId: 'entry', dataCentre: 'couva', region: 'tt-central'},
    settings,
    view: fleet,
    random: new randomSource.SeededRandom(SEED),
  });
}

/** Returns how often each member is chosen in `DRAWS` draws at one time. */
function countChoices(
  r: router.Router,
  nowMs = 0,
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (let i = 0; i < DRAWS; i++) {
    const nodeId =
      r.choose(fixtures.SERVICE, NONE_TRIED, nowMs)?.member.nodeId ?? '';
    counts[nodeId] = (counts[nodeId] ?? 0) + 1;
  }
  return counts;
}

const REMOTE = {dataCentre: 'freeport'};
const SELECTORS: readonly selector.SelectorSettings[] = [
  {kind: 'random'},
  {kind: 'round-robin'},
  {kind: 'least-in-flight'},
  {kind: 'in-band'},
  {kind: 'redirect'},
];

for (const settings of SELECTORS) {
  nodeTest.test(`${settings.kind}: excluded members get no requests`, () => {
    const fleet = new fixtures.FakeFleet(['a', 'b', 'c']);
    fleet.put(fixtures.member('b'), {liveness: peer.LivenessState.DEAD});
    fleet.put(fixtures.member('c'), {roster: 'leaving'});
    assert.deepEqual(countChoices(createRouter(fleet, settings)), {a: DRAWS});
  });

  nodeTest.test(`${settings.kind}: untried members come first`, () => {
    const fleet = new fixtures.FakeFleet(['a', 'b']);
    const r = createRouter(fleet, settings);
    r.failures.onFailure('b', 0);
    const choice = r.choose(fixtures.SERVICE, new Set(['a']), 0);
    assert.equal(choice?.member.nodeId, 'b');
    assert.equal(choice?.untried, true);
    const again = r.choose(fixtures.SERVICE, new Set(['a', 'b']), 0);
    assert.equal(again?.untried, false);
  });
}

nodeTest.test(
  'a loaded gate gets fewer requests while its report is recent',
  () => {
    const fleet = new fixtures.FakeFleet(['a', 'b', 'c']);
    const r = createRouter(fleet);
    for (const id of ['a', 'b', 'c']) {
      r.onReport(id, fixtures.load(id === 'a' ? 10 : 2), 0);
    }
    assert.equal(countChoices(r, 0)['a'] ?? 0, 0);
    assert.ok((countChoices(r, 60_000)['a'] ?? 0) > DRAWS / 5);
  },
);

nodeTest.test(
  'another data centre is used when the local one is heavily loaded',
  () => {
    const near = fixtures.member('near');
    const far = fixtures.member('far', REMOTE);
    const fleet = new fixtures.FakeFleet([near, far]);
    const idle = createRouter(fleet);
    idle.onReport('near', fixtures.load(3), 0);
    idle.onReport('far', fixtures.load(3), 0);
    assert.deepEqual(countChoices(idle), {near: DRAWS});
    const busy = createRouter(fleet);
    busy.onReport('near', fixtures.load(9), 0);
    busy.onReport('far', fixtures.load(3), 0);
    assert.deepEqual(countChoices(busy), {far: DRAWS});
  },
);

nodeTest.test('another region is used only when the local one is full', () => {
  const far = fixtures.member('far', {...REMOTE, region: 'gt-sur'});
  const fleet = new fixtures.FakeFleet(['near', far]);
  const r = createRouter(fleet);
  r.onReport('near', fixtures.load(8), 0);
  assert.deepEqual(countChoices(r), {near: DRAWS});
  r.onReport('near', fixtures.load(10, {queued: 20}), 1);
  assert.deepEqual(countChoices(r, 1), {far: DRAWS});
});

nodeTest.test('a gate in cold start gets few requests', () => {
  const fleet = new fixtures.FakeFleet(['a', 'b']);
  const r = createRouter(fleet);
  r.onReport('a', fixtures.load(0, {limit: 1, cold: true}), 0);
  r.onReport('b', fixtures.load(6), 0);
  assert.deepEqual(countChoices(r), {b: DRAWS});
});

nodeTest.test('a member that fails fast does not attract load', () => {
  const fleet = new fixtures.FakeFleet(['a', 'b']);
  const r = createRouter(fleet);
  r.onReport('a', fixtures.load(0, {latencyUs: 100}), 0);
  r.onReport('b', fixtures.load(9), 0);
  r.failures.onFailure('a', 0);
  assert.deepEqual(countChoices(r), {b: DRAWS});
});

nodeTest.test('own attempts count in full without a recent report', () => {
  const fleet = new fixtures.FakeFleet(['a', 'b']);
  const r = createRouter(fleet);
  for (let i = 0; i < 6; i++) r.ownAttempts.add('a', i);
  assert.deepEqual(countChoices(r, 60_000), {b: DRAWS});
});

nodeTest.test(
  'only the redirect selector follows the alternatives of a full gate',
  () => {
    const fleet = new fixtures.FakeFleet(['a', 'b', 'c']);
    const alternatives = [{nodeId: 'b', load: fixtures.load(1)}];
    const chooseAlternative = (
      settings: selector.SelectorSettings,
      tried = NONE_TRIED,
    ) =>
      createRouter(fleet, settings).chooseAlternative(
        alternatives,
        fixtures.SERVICE,
        tried,
        0,
      )?.nodeId;
    assert.equal(chooseAlternative({kind: 'redirect'}), 'b');
    assert.equal(chooseAlternative({kind: 'in-band'}), undefined);
    assert.equal(
      chooseAlternative({kind: 'redirect'}, new Set(['b'])),
      undefined,
    );
    fleet.put(fixtures.member('b'), {roster: 'leaving'});
    assert.equal(chooseAlternative({kind: 'redirect'}), undefined);
  },
);
