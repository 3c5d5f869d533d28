import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as brokenOffAudit from './broken_off_audit.js';

const {test} = nodeTest;

const BOUNDS = {graceMs: 4_000, contactMs: 3_000, configMs: 2_000};

const NOTHING = {lost: 0, undisrupted: 0, disrupted: 0, replaced: 0};

/** A request `r` to `entry`, which runs at the server beside `gate` from 1,000 to 3,000 ms. */
class Scenario {
  private nowMs = 0;
  readonly audit = new brokenOffAudit.BrokenOffAudit(BOUNDS, () => this.nowMs);

  at(atMs: number): brokenOffAudit.BrokenOffAudit {
    this.nowMs = atMs;
    return this.audit;
  }

  /** Records a disturbance from one time to another. */
  disturb(
    kind: brokenOffAudit.Disturbance['kind'],
    node: string,
    fromMs: number,
    toMs = fromMs,
  ): this {
    const disturbance = this.at(fromMs).begin(kind, node);
    this.at(toMs).end(disturbance);
    return this;
  }

  /** Records the request; its run is cut at `cutMs`, if given. */
  fail(
    atMs: number,
    {
      status = 502,
      sealed = false,
      limitMs = 4_000,
      sentMs = 900,
      cutMs = 0,
      endMs = 3_000,
    } = {},
  ): this {
    const {audit} = this;
    this.at(sentMs).onSent({id: 'r', path: '/', entry: 'entry', limitMs});
    const run = this.at(sentMs + 100).onRun('r', 'gate');
    if (cutMs > 0) this.at(cutMs).onRunEnd(run, 'cut');
    this.at(endMs).onRunEnd(run, 'answered');
    this.at(atMs);
    audit.onOutcome('r', {status, sealed, text: ''});
    return this;
  }

  check(): object {
    const {lost, undisrupted, disrupted, replaced} = this.audit.check();
    return {
      lost: lost.length,
      undisrupted: undisrupted.length,
      disrupted: disrupted.length,
      replaced,
    };
  }
}

test('a failure of its own after SIGTERM is a loss while the server works', () => {
  const scenario = new Scenario().disturb('stop', 'entry', 800, 3_500);
  assert.deepEqual(scenario.fail(1_600).check(), {...NOTHING, lost: 1});
});

test('a server that is cut off before the failure was at work', () => {
  const scenario = new Scenario().disturb('stop', 'entry', 800, 3_500);
  scenario.fail(1_600, {cutMs: 1_500});
  assert.deepEqual(scenario.check(), {...NOTHING, lost: 1});
});

test('slow and paused processes excuse nothing', () => {
  const scenario = new Scenario()
    .disturb('stop', 'entry', 800, 3_500)
    .disturb('pause', 'gate', 1_000, 1_800)
    .disturb('slow', 'entry', 0, 5_000);
  assert.deepEqual(scenario.fail(1_600).check(), {...NOTHING, lost: 1});
});

test('without planned work the request is broken off', () => {
  const scenario = new Scenario().disturb('pause', 'gate', 1_000, 1_800);
  assert.deepEqual(scenario.fail(1_600).check(), {...NOTHING, undisrupted: 1});
});

for (const kind of ['kill', 'links', 'server'] as const) {
  test(`a disruption excuses a loss (${kind})`, () => {
    const scenario = new Scenario()
      .disturb('stop', 'entry', 800, 3_500)
      .disturb(kind, 'gate', 500, 600);
    assert.deepEqual(scenario.fail(1_600).check(), {...NOTHING, disrupted: 1});
  });

  test(`a disruption of another node or long ago excuses nothing (${kind})`, () => {
    const scenario = new Scenario()
      .disturb('stop', 'entry', 10_800, 13_500)
      .disturb(kind, 'gate', 500, 600)
      .disturb(kind, 'other', 10_900, 11_000);
    scenario.fail(11_600, {sentMs: 10_900, endMs: 13_000});
    assert.deepEqual(scenario.check(), {...NOTHING, lost: 1});
  });
}

test('a request whose time has passed may be answered', () => {
  const scenario = new Scenario().disturb('stop', 'entry', 800, 3_500);
  scenario.fail(1_900, {limitMs: 1_000});
  assert.deepEqual(scenario.check(), NOTHING);
});

test('a request whose gate was killed may be answered', () => {
  const scenario = new Scenario()
    .disturb('stop', 'entry', 800, 3_500)
    .disturb('kill', 'gate', 1_400, 9_000);
  assert.deepEqual(scenario.fail(1_600).check(), NOTHING);
});

test('an entry that was killed answers nothing', () => {
  const scenario = new Scenario().disturb('kill', 'entry', 1_400, 9_000);
  assert.deepEqual(scenario.fail(1_500, {status: 0}).check(), NOTHING);
});

test('a gate that stops has to wait for its runs', () => {
  const early = new Scenario().disturb('stop', 'gate', 800, 1_500);
  early.fail(1_600, {cutMs: 1_500});
  assert.deepEqual(early.check(), {...NOTHING, undisrupted: 1});
  const late = new Scenario().disturb('stop', 'gate', 800, 4_700);
  late.fail(4_700, {cutMs: 4_700, limitMs: 5_000, endMs: 5_500});
  assert.deepEqual(late.check(), NOTHING);
});

test('a run that reaches into the end of the grace may be cut', () => {
  const early = new Scenario().disturb('stop', 'entry', 800, 4_800);
  early.fail(4_500, {limitMs: 9_000, endMs: 4_600});
  assert.deepEqual(early.check(), NOTHING);
  const before = new Scenario().disturb('stop', 'entry', 800, 4_800);
  before.fail(4_000, {limitMs: 9_000, endMs: 4_100});
  assert.deepEqual(before.check(), {...NOTHING, lost: 1});
  const notYet = new Scenario().disturb('stop', 'entry', 800, 4_800);
  notYet.fail(2_000, {limitMs: 9_000, endMs: 4_600});
  assert.deepEqual(notYet.check(), {...NOTHING, undisrupted: 1});
  const sentLate = new Scenario().disturb('stop', 'entry', 800, 4_800);
  sentLate.fail(4_500, {sentMs: 3_900, endMs: 5_000});
  assert.deepEqual(sentLate.check(), {...NOTHING, lost: 1});
});

test('a connection that closes after SIGTERM loses an answer that was made', () => {
  const scenario = new Scenario().disturb('stop', 'entry', 800, 3_500);
  scenario.fail(3_100, {status: 0});
  assert.deepEqual(scenario.check(), {...NOTHING, lost: 1});
});

test('only closed connections are losses around new settings', () => {
  for (const kind of ['reload', 'configuration'] as const) {
    const closed = new Scenario().disturb(kind, 'entry', 800);
    closed.fail(1_600, {status: 0});
    assert.deepEqual(closed.check(), {...NOTHING, lost: 1});
    const answered = new Scenario().disturb(kind, 'entry', 800);
    answered.fail(1_600);
    assert.deepEqual(answered.check(), {...NOTHING, undisrupted: 1});
  }
});

test('answers of servers and answers after the run are no breaks', () => {
  const sealed = new Scenario().disturb('stop', 'entry', 800, 3_500);
  sealed.fail(1_600, {status: 500, sealed: true});
  assert.deepEqual(sealed.check(), NOTHING);
  const replaced = new Scenario().disturb('stop', 'entry', 800, 3_500);
  assert.deepEqual(replaced.fail(3_100).check(), {...NOTHING, replaced: 1});
});
