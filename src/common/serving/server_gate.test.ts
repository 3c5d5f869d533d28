import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as serving from '../../generated/serving.js';
import * as fixtures from './serving_fixtures.test.js';

const {test} = nodeTest;
const {Reason, Closure} = serving;

const LIMIT_OF_TEN_SLOTS = 8;

function fill(world: fixtures.GateWorld, now = 0): readonly string[] {
  return Array.from({length: LIMIT_OF_TEN_SLOTS}, () => world.call({}, now));
}

test('a request runs on the announced instance with the time left', () => {
  const world = new fixtures.GateWorld().open();
  world.call({timeLeftMs: 700});
  assert.deepEqual(world.output.runs, [
    {key: 'e/1', instanceId: 'i-1', timeLeftMs: 700},
  ]);
});

test('nothing runs before a health check confirms an announced server', () => {
  const world = new fixtures.GateWorld();
  world.gate.onAnnouncement(fixtures.announcement(), 0);
  world.call();
  assert.equal(world.output.runs.length, 0);
  world.healthy();
  assert.equal(world.output.runs.length, 1);
});

test('no more requests run at once than the limit, which is below the slots', () => {
  const world = new fixtures.GateWorld().open();
  fill(world);
  world.call();
  assert.equal(world.output.runs.length, LIMIT_OF_TEN_SLOTS);
  world.answered('e/1', 100);
  assert.equal(world.output.runs.length, LIMIT_OF_TEN_SLOTS + 1);
});

test('a server that sheds with slots free keeps its limit and counts as failing', () => {
  const world = new fixtures.GateWorld().open();
  const load = {running: 1, waiting: 0, slots: 10, pacePercent: 100};
  for (let i = 0; i < 10; i++) {
    const key = world.call({}, i);
    world.gate.onServerLoad(load, i);
    world.gate.onRunEnded(key, {kind: 'shed', status: 503}, i);
  }
  const {limit, failingPercent} = world.gate.load(10);
  assert.equal(limit, 8);
  assert.ok(failingPercent > 50);
});

test('the limit is lowered for a while after a full server sheds', () => {
  const world = new fixtures.GateWorld().open();
  const keys = Array.from({length: 5}, () => world.call());
  const load = {running: 10, waiting: 3, slots: 10, pacePercent: 100};
  world.gate.onServerLoad(load, 10);
  world.gate.onRunEnded(keys[0], {kind: 'shed', status: 503}, 10);
  assert.equal(world.gate.load(20).limit, 4);
  assert.equal(world.gate.load(1_000).limit, 8);
});

test('a leaving server gets no more requests, and waiting ones are refused', () => {
  const world = new fixtures.GateWorld().open();
  fill(world);
  world.call();
  const leaving = fixtures.announcement({state: 'leaving', sequence: 2});
  world.gate.onAnnouncement(leaving, 10);
  world.answered('e/1', 20);
  world.call({}, 30);
  assert.equal(world.output.runs.length, LIMIT_OF_TEN_SLOTS);
  assert.deepEqual(world.output.reasons, [Reason.CLOSED, Reason.CLOSED]);
  assert.ok(world.output.refusals.every(refusal => !refusal.mayHaveRun));
});

test('leaving is final for an incarnation, even if a late announcement says ready', () => {
  const world = new fixtures.GateWorld().open();
  world.gate.onDeregistration('i-1', undefined, 10);
  const late = fixtures.announcement({sequence: 5});
  world.gate.onAnnouncement(late, 20);
  assert.equal(world.gate.closure(), Closure.SERVER_LEAVING);
  world.open({startMs: 2_000}, 30);
  assert.equal(world.gate.closure(), Closure.OPEN);
});

test('a data centre that is taken out closes the gate until it returns and a health check succeeds', () => {
  const world = new fixtures.GateWorld().open();
  const dataCentre = fixtures.DATA_CENTRE;
  const out = {kind: 'data-centre', dataCentre, offset: 1, out: true} as const;
  world.intent.applyChange(out);
  world.gate.onIntent(10);
  world.call({}, 20);
  assert.deepEqual(world.output.reasons, [Reason.CLOSED]);
  world.intent.applyChange({...out, offset: 2, out: false});
  world.gate.onIntent(30);
  world.call({}, 40);
  assert.equal(world.output.runs.length, 0);
  world.healthy('i-1', 50, 2_000);
  assert.equal(world.output.runs.length, 1);
  assert.ok(world.gate.load(50).cold);
});

test('a cold server gets at most 25% more requests per second than its declared rate', () => {
  const world = new fixtures.GateWorld().open({coldLeftMs: 5_000});
  for (let now = 0; now < 4_000; now += 20) {
    world.call({objectiveLeftMs: 5_000, timeLeftMs: 9_000}, now);
    for (const {key} of world.output.runs) world.answered(key, now);
    world.gate.tick(now);
  }
  const perSecond = 12;
  assert.ok(world.output.runs.length <= 4 * perSecond);
  assert.ok(world.output.runs.length >= 3 * perSecond);
});

test('a process that starts beside a cold server sends no requests in its first second', () => {
  const world = new fixtures.GateWorld(0).open({coldLeftMs: 5_000});
  world.call({}, 10);
  assert.equal(world.output.runs.length, 0);
  world.gate.tick(1_000);
  assert.equal(world.output.runs.length, 1);
});

test('a cold server that started after the process gets requests at once', () => {
  const world = new fixtures.GateWorld(0).open({
    coldLeftMs: 5_000,
    startMs: 2_000,
  });
  world.call({}, 10);
  assert.equal(world.output.runs.length, 1);
});

test('a request to a stalled server is redirected if it may be', () => {
  const world = new fixtures.GateWorld().open();
  const stalled = {running: 0, waiting: 0, slots: 10, pacePercent: 400};
  world.gate.onServerLoad(stalled, 0);
  world.call({redirectable: true}, 10);
  world.call({redirectable: false}, 10);
  assert.deepEqual(world.output.reasons, [Reason.STALLED]);
  assert.equal(world.output.runs.length, 1);
});

test('an outdated pace sample is ignored', () => {
  const world = new fixtures.GateWorld().open();
  const stalled = {running: 0, waiting: 0, slots: 10, pacePercent: 400};
  world.gate.onServerLoad(stalled, 0);
  world.call({redirectable: true}, 500);
  assert.equal(world.output.runs.length, 1);
});

test('a withdrawal aborts a repeatable request but not an unsafe one', () => {
  const world = new fixtures.GateWorld().open();
  const safe = world.call({repeatable: true});
  const unsafe = world.call({repeatable: false});
  world.gate.onWithdraw(safe, 10);
  world.gate.onWithdraw(unsafe, 10);
  assert.deepEqual(world.output.aborted, [safe]);
});

test('a request that arrives after its withdrawal does not run', () => {
  const world = new fixtures.GateWorld().open();
  world.gate.onWithdraw('e/1', 0);
  world.call({}, 1);
  assert.equal(world.output.runs.length, 0);
  assert.deepEqual(world.output.reasons, [Reason.WITHDRAWN]);
});

test('a call resent over a new link runs once and is answered there', () => {
  const world = new fixtures.GateWorld().open();
  const key = world.call();
  world.gate.onLinkLost(1, 10);
  const dispatch = fixtures.dispatch();
  world.gate.onCall({key, linkId: 2, dispatch}, 20);
  world.answered(key, 30);
  world.gate.onCall({key, linkId: 3, dispatch}, 40);
  assert.equal(world.output.runs.length, 1);
  assert.equal(world.output.answers.length, 2);
});

test('a repeatable run is aborted if its entry does not reconnect', () => {
  const world = new fixtures.GateWorld().open();
  const key = world.call();
  world.gate.onLinkLost(1, 10);
  world.gate.tick(900);
  assert.deepEqual(world.output.aborted, []);
  world.gate.tick(1_100);
  assert.deepEqual(world.output.aborted, [key]);
});

test('a misdirected request closes the gate and is refused as not run', () => {
  const world = new fixtures.GateWorld().open();
  const key = world.call();
  const end = {kind: 'misdirected', instanceId: 'i-other'} as const;
  world.gate.onRunEnded(key, end, 5);
  assert.deepEqual(world.output.reasons, [Reason.CLOSED]);
  assert.equal(world.output.refusals[0].mayHaveRun, false);
  assert.equal(world.gate.closure(), Closure.SERVER_ABSENT);
});

test('a health check distinguishes a server crash from a lost answer', () => {
  const lost = new fixtures.GateWorld().open();
  lost.gate.onRunEnded(lost.call(), {kind: 'broken'}, 5);
  lost.healthy('i-1', 6);
  assert.equal(lost.output.refusals[0].serverDied, false);
  assert.deepEqual(lost.output.suspects, []);

  const died = new fixtures.GateWorld().open();
  died.gate.onRunEnded(died.call(), {kind: 'broken'}, 5);
  died.gate.onHealthFailed('refused', 6);
  assert.equal(died.output.refusals[0].serverDied, true);
  assert.deepEqual(died.output.suspects, ['f1']);
  assert.equal(died.gate.closure(), Closure.SERVER_ABSENT);
});

test('a request during whose runs two servers died is quarantined', () => {
  const world = new fixtures.GateWorld().open();
  for (let now = 0; now < 2; now++) {
    world.gate.onRunEnded(
      world.call({fingerprint: 'x'}, now),
      {kind: 'broken'},
      now,
    );
    world.gate.onHealthFailed('refused', now);
    world.healthy('i-1', now);
  }
  const runs = world.output.runs.length;
  world.call({fingerprint: 'x'}, 10);
  assert.equal(world.output.runs.length, runs);
  assert.equal(world.output.reasons.at(-1), Reason.QUARANTINED);
});

test('a request that peers reported to crash servers is quarantined', () => {
  const world = new fixtures.GateWorld().open();
  world.suspects.onReport({fingerprint: 'x', deaths: 2}, 0);
  world.call({fingerprint: 'x'}, 1);
  assert.equal(world.output.runs.length, 0);
  assert.deepEqual(world.output.reasons, [Reason.QUARANTINED]);
});

test('a stopping gate finishes running requests and refuses new ones as not run', () => {
  const world = new fixtures.GateWorld().open();
  const key = world.call();
  world.gate.stop(10);
  world.call({}, 20);
  world.answered(key, 30);
  assert.equal(world.output.answers.length, 1);
  assert.deepEqual(world.output.reasons, [Reason.CLOSED]);
  assert.equal(world.gate.unanswered, 0);
});

test('under overload short urgent requests run while long tolerant ones are refused', () => {
  const world = new fixtures.GateWorld().open();
  const sheet = {route: 'sheets', rank: 2, objectiveLeftMs: 1_500};
  const check = {route: 'checks', rank: 1, objectiveLeftMs: 150};
  const ends: Array<{readonly key: string; readonly atMs: number}> = [];
  const started = new Set<string>();
  const routes = new Map<string, string>();
  let checks = 0;
  const settle = (now: number): void => {
    for (const {key, atMs} of ends.filter(e => e.atMs <= now)) {
      world.answered(key, atMs);
      ends.splice(
        ends.findIndex(e => e.key === key),
        1,
      );
    }
    for (const {key} of world.output.runs) {
      if (started.has(key)) continue;
      started.add(key);
      const durationMs = routes.get(key) === 'sheets' ? 600 : 60;
      ends.push({key, atMs: now + durationMs});
    }
  };
  for (let now = 0; now < 10_000; now += 20) {
    if (now % 40 === 0) {
      routes.set(world.call({...sheet, timeLeftMs: 4_000}, now), 'sheets');
    }
    checks++;
    routes.set(world.call({...check, timeLeftMs: 600}, now), 'checks');
    world.gate.tick(now);
    settle(now);
  }
  const ran = [...started].filter(key => routes.get(key) === 'checks').length;
  assert.ok(ran > 0.9 * checks, `${ran} of ${checks} short requests ran`);
});

test('the retry delay grows with the share of refused requests', () => {
  const world = new fixtures.GateWorld().open();
  fill(world);
  for (let i = 0; i < 60; i++) world.call({timeLeftMs: 60}, 0);
  const {refusals} = world.output;
  const [first] = refusals;
  const last = refusals[refusals.length - 1];
  assert.ok(last.retryAfterMs > 2 * first.retryAfterMs);
});
