import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as serving from '../../generated/serving.js';
import * as fixtures from './serving_fixtures.test.js';

const {test} = nodeTest;
const {Reason, Closure} = serving;

const LIMIT_OF_TEN_SLOTS = 8;

function fill(harness: fixtures.GateHarness, now = 0): readonly string[] {
  return Array.from({length: LIMIT_OF_TEN_SLOTS}, () => harness.call({}, now));
}

test('a request runs on the announced instance with the time left', () => {
  const harness = new fixtures.GateHarness().open();
  harness.call({timeLeftMs: 700});
  assert.deepEqual(harness.output.runs, [
    {key: 'e/1', instanceId: 'i-1', timeLeftMs: 700},
  ]);
});

test('nothing runs before a health check confirms an announced server', () => {
  const harness = new fixtures.GateHarness();
  harness.gate.onAnnouncement(fixtures.announcement(), 0);
  harness.call();
  assert.equal(harness.output.runs.length, 0);
  harness.healthy();
  assert.equal(harness.output.runs.length, 1);
});

test('no more requests run at once than the limit, which is below the slots', () => {
  const harness = new fixtures.GateHarness().open();
  fill(harness);
  harness.call();
  assert.equal(harness.output.runs.length, LIMIT_OF_TEN_SLOTS);
  harness.answered('e/1', 100);
  assert.equal(harness.output.runs.length, LIMIT_OF_TEN_SLOTS + 1);
});

test('a server that sheds with slots free keeps its limit and counts as failing', () => {
  const harness = new fixtures.GateHarness().open();
  const load = {running: 1, waiting: 0, slots: 10, pacePercent: 100};
  for (let i = 0; i < 10; i++) {
    const key = harness.call({}, i);
    harness.gate.onServerLoad(load, i);
    harness.gate.onRunEnded(key, {kind: 'shed', status: 503}, i);
  }
  const {limit, failingPercent} = harness.gate.load(10);
  assert.equal(limit, 8);
  assert.ok(failingPercent > 50);
});

test('the limit is lowered for a while after a full server sheds', () => {
  const harness = new fixtures.GateHarness().open();
  const keys = Array.from({length: 5}, () => harness.call());
  const load = {running: 10, waiting: 3, slots: 10, pacePercent: 100};
  harness.gate.onServerLoad(load, 10);
  harness.gate.onRunEnded(keys[0], {kind: 'shed', status: 503}, 10);
  assert.equal(harness.gate.load(20).limit, 4);
  assert.equal(harness.gate.load(1_000).limit, 8);
});

test('a leaving server gets no more requests, and waiting ones are refused', () => {
  const harness = new fixtures.GateHarness().open();
  fill(harness);
  harness.call();
  const leaving = fixtures.announcement({state: 'leaving', sequence: 2});
  harness.gate.onAnnouncement(leaving, 10);
  harness.answered('e/1', 20);
  harness.call({}, 30);
  assert.equal(harness.output.runs.length, LIMIT_OF_TEN_SLOTS);
  assert.deepEqual(harness.output.reasons, [Reason.CLOSED, Reason.CLOSED]);
  assert.ok(harness.output.refusals.every(refusal => !refusal.mayHaveRun));
});

test('leaving is final for an incarnation, even if a late announcement says ready', () => {
  const harness = new fixtures.GateHarness().open();
  harness.gate.onDeregistration('i-1', undefined, 10);
  const late = fixtures.announcement({sequence: 5});
  harness.gate.onAnnouncement(late, 20);
  assert.equal(harness.gate.closure(), Closure.SERVER_LEAVING);
  harness.open({startMs: 2_000}, 30);
  assert.equal(harness.gate.closure(), Closure.OPEN);
});

test('a data centre that is taken out closes the gate until it returns and a health check succeeds', () => {
  const harness = new fixtures.GateHarness().open();
  const dataCentre = fixtures.DATA_CENTRE;
  const position = {era: 0, offset: 1};
  const out = {kind: 'data-centre', dataCentre, position, out: true} as const;
  harness.intent.applyChange(out, 0);
  harness.gate.onIntent(10);
  harness.call({}, 20);
  assert.deepEqual(harness.output.reasons, [Reason.CLOSED]);
  const later = {era: 0, offset: 2};
  harness.intent.applyChange({...out, position: later, out: false}, 0);
  harness.gate.onIntent(30);
  harness.call({}, 40);
  assert.equal(harness.output.runs.length, 0);
  harness.healthy('i-1', 50, 2_000);
  assert.equal(harness.output.runs.length, 1);
  assert.ok(harness.gate.load(50).cold);
});

test('a cold server gets at most 25% more requests per second than its declared rate', () => {
  const harness = new fixtures.GateHarness().open({coldLeftMs: 5_000});
  for (let now = 0; now < 4_000; now += 20) {
    harness.call({objectiveLeftMs: 5_000, timeLeftMs: 9_000}, now);
    for (const {key} of harness.output.runs) harness.answered(key, now);
    harness.gate.tick(now);
  }
  const perSecond = 12;
  assert.ok(harness.output.runs.length <= 4 * perSecond);
  assert.ok(harness.output.runs.length >= 3 * perSecond);
});

test('a process that starts beside a cold server sends no requests in its first second', () => {
  const harness = new fixtures.GateHarness(0).open({coldLeftMs: 5_000});
  harness.call({}, 10);
  assert.equal(harness.output.runs.length, 0);
  harness.gate.tick(1_000);
  assert.equal(harness.output.runs.length, 1);
});

test('a cold server that started after the process gets requests at once', () => {
  const harness = new fixtures.GateHarness(0).open({
    coldLeftMs: 5_000,
    startMs: 2_000,
  });
  harness.call({}, 10);
  assert.equal(harness.output.runs.length, 1);
});

test('a request to a stalled server is redirected if it may be', () => {
  const harness = new fixtures.GateHarness().open();
  const stalled = {running: 0, waiting: 0, slots: 10, pacePercent: 400};
  harness.gate.onServerLoad(stalled, 0);
  harness.call({redirectable: true}, 10);
  harness.call({redirectable: false}, 10);
  assert.deepEqual(harness.output.reasons, [Reason.STALLED]);
  assert.equal(harness.output.runs.length, 1);
});

/** Teaches the gate the run time of the default route. */
function learnRunTime(harness: fixtures.GateHarness, runMs: number): void {
  harness.answered(harness.call({}, 0), runMs);
}

test('a full gate keeps a request that it starts well within the slack, whatever others offer', () => {
  const harness = new fixtures.GateHarness().open();
  learnRunTime(harness, 200);
  fill(harness, 1_000);
  // The next slot is expected after 25 ms; a redirection costs two nodes several milliseconds.
  harness.call({redirectable: true}, 1_000);
  assert.deepEqual(harness.output.reasons, []);
  harness.call({redirectable: true, objectiveLeftMs: 220}, 1_000);
  assert.deepEqual(harness.output.reasons, [Reason.FULL]);
});

test('a queued run started in a stall holds its slot for four times as long', () => {
  const harness = new fixtures.GateHarness().open();
  learnRunTime(harness, 200);
  const stalled = {running: 0, waiting: 0, slots: 10, pacePercent: 400};
  harness.gate.onServerLoad(stalled, 1_000);
  const key = harness.call({}, 1_010);
  assert.ok(!harness.isRunning(key));
  harness.gate.onServerLoad({...stalled, pacePercent: 100}, 1_100);
  harness.healthy('i-1', 1_100);
  assert.ok(harness.isRunning(key));
});

test('a run that is shorter at the pace of a stall than the stall starts at once', () => {
  const harness = new fixtures.GateHarness().open();
  learnRunTime(harness, 50);
  const stalled = {running: 0, waiting: 0, slots: 10, pacePercent: 400};
  harness.gate.onServerLoad(stalled, 1_000);
  assert.ok(harness.isRunning(harness.call({}, 1_010)));
});

test('a server that stays slow gets requests as it is', () => {
  const harness = new fixtures.GateHarness().open();
  learnRunTime(harness, 200);
  const slow = {running: 0, waiting: 0, slots: 10, pacePercent: 400};
  for (let now = 1_000; now <= 2_000; now += 100) {
    harness.gate.onServerLoad(slow, now);
  }
  assert.ok(harness.isRunning(harness.call({}, 2_010)));
});

test('stalls seen at two distant samples count as one that lasts', () => {
  const harness = new fixtures.GateHarness().open();
  learnRunTime(harness, 200);
  const stalled = {running: 0, waiting: 0, slots: 10, pacePercent: 400};
  harness.gate.onServerLoad(stalled, 1_000);
  harness.gate.onServerLoad(stalled, 2_000);
  assert.ok(!harness.isRunning(harness.call({}, 2_010)));
});

test('an outdated pace sample is ignored', () => {
  const harness = new fixtures.GateHarness().open();
  const stalled = {running: 0, waiting: 0, slots: 10, pacePercent: 400};
  harness.gate.onServerLoad(stalled, 0);
  harness.call({redirectable: true}, 500);
  assert.equal(harness.output.refusals.length, 0);
  // No newer sample arrives, so the run starts once the wait for one is over.
  harness.gate.tick(harness.gate.nextWakeMs(500));
  assert.equal(harness.output.runs.length, 1);
});

test('a withdrawal aborts a repeatable request but not an unsafe one', () => {
  const harness = new fixtures.GateHarness().open();
  const safe = harness.call({repeatable: true});
  const unsafe = harness.call({repeatable: false});
  harness.gate.onWithdraw(safe, 10);
  harness.gate.onWithdraw(unsafe, 10);
  assert.deepEqual(harness.output.aborted, [safe]);
});

test('a request that arrives after its withdrawal does not run', () => {
  const harness = new fixtures.GateHarness().open();
  harness.gate.onWithdraw('e/1', 0);
  harness.call({}, 1);
  assert.equal(harness.output.runs.length, 0);
  assert.deepEqual(harness.output.reasons, [Reason.WITHDRAWN]);
});

test('a request that waited unread for longer than its time left is refused as not run', () => {
  const harness = new fixtures.GateHarness().open();
  const dispatch = fixtures.dispatch({timeLeftMs: 500});
  const waited = {key: 'e/late', linkId: 1, dispatch, waitedMs: 600};
  harness.gate.onCall(waited, 1_000);
  assert.deepEqual(harness.output.reasons, [Reason.NO_TIME]);
  assert.equal(harness.output.refusals[0].mayHaveRun, false);
  harness.gate.onCall({...waited, key: 'e/in-time', waitedMs: 300}, 1_000);
  assert.deepEqual(harness.output.runs, [
    {key: 'e/in-time', instanceId: 'i-1', timeLeftMs: 200},
  ]);
});

test('a queued request whose time passed during a pause does not run at its end', () => {
  const harness = new fixtures.GateHarness().open();
  harness.gate.recheck();
  harness.call({timeLeftMs: 500}, 0);
  harness.healthy('i-1', 2_000);
  assert.equal(harness.output.runs.length, 0);
  assert.deepEqual(harness.output.reasons, [Reason.NO_TIME]);
});

test('a misdirected request closes the gate and is refused as not run', () => {
  const harness = new fixtures.GateHarness().open();
  const key = harness.call();
  const end = {kind: 'misdirected', instanceId: 'i-other'} as const;
  harness.gate.onRunEnded(key, end, 5);
  assert.deepEqual(harness.output.reasons, [Reason.CLOSED]);
  assert.equal(harness.output.refusals[0].mayHaveRun, false);
  assert.equal(harness.gate.closure(), Closure.SERVER_ABSENT);
});

test('a health check distinguishes a server crash from a lost answer', () => {
  const lost = new fixtures.GateHarness().open();
  lost.gate.onRunEnded(lost.call(), {kind: 'broken'}, 5);
  lost.healthy('i-1', 6);
  assert.equal(lost.output.refusals[0].serverDied, false);
  assert.deepEqual(lost.output.suspects, []);

  const died = new fixtures.GateHarness().open();
  died.gate.onRunEnded(died.call(), {kind: 'broken'}, 5);
  died.gate.onHealthFailed('refused', 6);
  assert.equal(died.output.refusals[0].serverDied, true);
  assert.deepEqual(died.output.suspects, ['f1']);
  assert.equal(died.gate.closure(), Closure.SERVER_ABSENT);
});

test('a request during whose runs two servers died is quarantined', () => {
  const harness = new fixtures.GateHarness().open();
  for (let now = 0; now < 2; now++) {
    harness.gate.onRunEnded(
      harness.call({fingerprint: 'x'}, now),
      {kind: 'broken'},
      now,
    );
    harness.gate.onHealthFailed('refused', now);
    harness.healthy('i-1', now);
  }
  const runs = harness.output.runs.length;
  harness.call({fingerprint: 'x'}, 10);
  assert.equal(harness.output.runs.length, runs);
  assert.equal(harness.output.reasons.at(-1), Reason.QUARANTINED);
});

// One crash barred a page on all nodes, as each of its runs counted as a death (review/10).
test('a crash is one death for equal requests that were at work together', () => {
  const harness = new fixtures.GateHarness().open();
  const page = {fingerprint: 'page'};
  const keys = [harness.call(page), harness.call(page), harness.call(page)];
  for (const key of keys.slice(0, 2)) {
    harness.gate.onRunEnded(key, {kind: 'broken'}, 5);
  }
  harness.gate.onHealthFailed('refused', 6);
  // The break of the third connection is read after the health check.
  harness.gate.onRunEnded(keys[2], {kind: 'broken'}, 7);
  harness.gate.onHealthFailed('refused', 8);
  assert.deepEqual(harness.output.suspects, ['page']);

  harness.healthy('i-1', 100);
  const runs = harness.output.runs.length;
  harness.call(page, 110);
  assert.equal(harness.output.runs.length, runs + 1);
});

test('an answer ends a suspicion, which is reported once', () => {
  const harness = new fixtures.GateHarness().open();
  harness.suspects.onReport({fingerprint: 'x', deaths: 1}, 0);
  for (let now = 1; now < 3; now++) {
    harness.answered(harness.call({fingerprint: 'x'}, now), now);
  }
  assert.deepEqual(harness.output.cleared, ['x']);
});

test('a request that peers reported to crash servers is quarantined', () => {
  const harness = new fixtures.GateHarness().open();
  harness.suspects.onReport({fingerprint: 'x', deaths: 2}, 0);
  harness.call({fingerprint: 'x'}, 1);
  assert.equal(harness.output.runs.length, 0);
  assert.deepEqual(harness.output.reasons, [Reason.QUARANTINED]);
});

test('a stopping gate finishes running requests and refuses new ones as not run', () => {
  const harness = new fixtures.GateHarness().open();
  const key = harness.call();
  harness.gate.stop(10);
  harness.call({}, 20);
  harness.answered(key, 30);
  assert.equal(harness.output.answers.length, 1);
  assert.deepEqual(harness.output.reasons, [Reason.CLOSED]);
  assert.equal(harness.gate.unanswered, 0);
});

test('under overload short urgent requests run while long tolerant ones are refused', () => {
  const harness = new fixtures.GateHarness().open();
  const sheet = {route: 'sheets', rank: 2, objectiveLeftMs: 1_500};
  const check = {route: 'checks', rank: 1, objectiveLeftMs: 150};
  const ends: Array<{readonly key: string; readonly atMs: number}> = [];
  const started = new Set<string>();
  const routes = new Map<string, string>();
  let checks = 0;
  const settle = (now: number): void => {
    for (const {key, atMs} of ends.filter(e => e.atMs <= now)) {
      harness.answered(key, atMs);
      ends.splice(
        ends.findIndex(e => e.key === key),
        1,
      );
    }
    for (const {key} of harness.output.runs) {
      if (started.has(key)) continue;
      started.add(key);
      const durationMs = routes.get(key) === 'sheets' ? 600 : 60;
      ends.push({key, atMs: now + durationMs});
    }
  };
  for (let now = 0; now < 10_000; now += 20) {
    if (now % 40 === 0) {
      routes.set(harness.call({...sheet, timeLeftMs: 4_000}, now), 'sheets');
    }
    checks++;
    routes.set(harness.call({...check, timeLeftMs: 600}, now), 'checks');
    harness.gate.tick(now);
    settle(now);
  }
  const ran = [...started].filter(key => routes.get(key) === 'checks').length;
  assert.ok(ran > 0.9 * checks, `${ran} of ${checks} short requests ran`);
});

test('the retry delay grows with the share of refused requests', () => {
  const harness = new fixtures.GateHarness().open();
  fill(harness);
  for (let i = 0; i < 60; i++) harness.call({timeLeftMs: 60}, 0);
  const {refusals} = harness.output;
  const [first] = refusals;
  const last = refusals[refusals.length - 1];
  assert.ok(last.retryAfterMs > 2 * first.retryAfterMs);
});

test('the log tells which runs start in a stall and how long it lasts', () => {
  const harness = new fixtures.GateHarness().open();
  const load = {running: 0, waiting: 0, slots: 10, pacePercent: 400};
  harness.gate.onServerLoad(load, 100);
  harness.call({}, 110);
  harness.gate.onServerLoad(load, 200);
  harness.gate.onServerLoad({...load, pacePercent: 100}, 300);
  harness.call({}, 310);
  const runs = harness.log.decisions.filter(d => d.event === 'run');
  const reasons = runs.map(d => d.facts['reason']);
  assert.deepEqual(reasons, ['stalled', undefined]);
  const ends = harness.log.decisions.filter(d => d.event === 'stall-ended');
  assert.deepEqual(
    ends.map(d => d.facts['durationMs']),
    [200],
  );
});
