import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as peer from '../../generated/peer.js';
import * as fixtures from '../entry/entry_fixtures.test.js';
import * as randomSource from '../random_source.js';
import * as router from './router.js';
import * as selector from './selector.js';

const SEED = Number(process.env['SEED'] ?? 5);
const DRAWS = 2_000;
const NONE: ReadonlySet<string> = new Set();

function routerOf(
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

/** Returns how often each member is chosen at one time. */
function draw(r: router.Router, nowMs = 0): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (let i = 0; i < DRAWS; i++) {
    const nodeId = r.choose(fixtures.SERVICE, NONE, nowMs)?.member.nodeId ?? '';
    counts[nodeId] = (counts[nodeId] ?? 0) + 1;
  }
  return counts;
}

const REMOTE = {dataCentre: 'freeport'};
const KINDS: readonly selector.SelectorSettings[] = [
  {kind: 'random'},
  {kind: 'round-robin'},
  {kind: 'least-in-flight'},
  {kind: 'in-band'},
  {kind: 'redirect'},
];

for (const settings of KINDS) {
  nodeTest.test(`${settings.kind}: excluded members get nothing`, () => {
    const fleet = new fixtures.FakeFleet(['a', 'b', 'c']);
    fleet.put(fixtures.member('b'), {liveness: peer.LivenessState.DEAD});
    fleet.put(fixtures.member('c'), {roster: 'leaving'});
    assert.deepEqual(draw(routerOf(fleet, settings)), {a: DRAWS});
  });

  nodeTest.test(`${settings.kind}: untried members come first`, () => {
    const fleet = new fixtures.FakeFleet(['a', 'b']);
    const r = routerOf(fleet, settings);
    r.failures.onFailure('b', 0);
    const choice = r.choose(fixtures.SERVICE, new Set(['a']), 0);
    assert.equal(choice?.member.nodeId, 'b');
    assert.equal(choice?.fresh, true);
    const again = r.choose(fixtures.SERVICE, new Set(['a', 'b']), 0);
    assert.equal(again?.fresh, false);
  });
}

nodeTest.test('a loaded gate gets less while its report is recent', () => {
  const fleet = new fixtures.FakeFleet(['a', 'b', 'c']);
  const r = routerOf(fleet);
  for (const id of ['a', 'b', 'c']) {
    r.onReport(id, fixtures.load(id === 'a' ? 10 : 2), 0);
  }
  assert.equal(draw(r, 0)['a'] ?? 0, 0);
  assert.ok((draw(r, 60_000)['a'] ?? 0) > DRAWS / 5);
});

nodeTest.test('the own data centre is left by load, not all at once', () => {
  const near = fixtures.member('near');
  const far = fixtures.member('far', REMOTE);
  const fleet = new fixtures.FakeFleet([near, far]);
  const idle = routerOf(fleet);
  idle.onReport('near', fixtures.load(3), 0);
  idle.onReport('far', fixtures.load(3), 0);
  assert.deepEqual(draw(idle), {near: DRAWS});
  const busy = routerOf(fleet);
  busy.onReport('near', fixtures.load(9), 0);
  busy.onReport('far', fixtures.load(3), 0);
  assert.deepEqual(draw(busy), {far: DRAWS});
});

nodeTest.test('another region is used only when the own one is full', () => {
  const far = fixtures.member('far', {...REMOTE, region: 'gt-sur'});
  const fleet = new fixtures.FakeFleet(['near', far]);
  const r = routerOf(fleet);
  r.onReport('near', fixtures.load(8), 0);
  assert.deepEqual(draw(r), {near: DRAWS});
  r.onReport('near', fixtures.load(10, {queued: 20}), 1);
  assert.deepEqual(draw(r, 1), {far: DRAWS});
});

nodeTest.test('a gate in cold start gets little', () => {
  const fleet = new fixtures.FakeFleet(['a', 'b']);
  const r = routerOf(fleet);
  r.onReport('a', fixtures.load(0, {limit: 1, cold: true}), 0);
  r.onReport('b', fixtures.load(6), 0);
  assert.deepEqual(draw(r), {b: DRAWS});
});

nodeTest.test('a member that fails fast does not attract load', () => {
  const fleet = new fixtures.FakeFleet(['a', 'b']);
  const r = routerOf(fleet);
  r.onReport('a', fixtures.load(0, {latencyUs: 100}), 0);
  r.onReport('b', fixtures.load(9), 0);
  r.failures.onFailure('a', 0);
  assert.deepEqual(draw(r), {b: DRAWS});
});

nodeTest.test('own attempts count in full whatever the age of a report', () => {
  const fleet = new fixtures.FakeFleet(['a', 'b']);
  const r = routerOf(fleet);
  for (let i = 0; i < 6; i++) r.own.add('a', i);
  assert.deepEqual(draw(r, 60_000), {b: DRAWS});
});

nodeTest.test(
  'only the redirect selector goes where a full gate points',
  () => {
    const fleet = new fixtures.FakeFleet(['a', 'b', 'c']);
    const named = [{nodeId: 'b', load: fixtures.load(1)}];
    const follow = (settings: selector.SelectorSettings, tried = NONE) =>
      routerOf(fleet, settings).chooseAlternative(
        named,
        fixtures.SERVICE,
        tried,
        0,
      )?.nodeId;
    assert.equal(follow({kind: 'redirect'}), 'b');
    assert.equal(follow({kind: 'in-band'}), undefined);
    assert.equal(follow({kind: 'redirect'}, new Set(['b'])), undefined);
    fleet.put(fixtures.member('b'), {roster: 'leaving'});
    assert.equal(follow({kind: 'redirect'}), undefined);
  },
);
