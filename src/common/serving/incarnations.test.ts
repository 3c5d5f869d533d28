import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as incarnations from './incarnations.js';
import * as fixtures from './serving_fixtures.test.js';

const {test} = nodeTest;
const {announcement} = fixtures;

function health(
  instanceId: string,
  coldLeftMs?: number,
): incarnations.HealthSample {
  return {healthy: true, instanceId, coldLeftMs, slots: 6};
}

test('an announcement of a former incarnation is ignored', () => {
  const tracker = new incarnations.IncarnationTracker();
  tracker.onAnnouncement(announcement({instanceId: 'b', startMs: 2_000}), 0);
  const old = announcement({instanceId: 'a', startMs: 1_000, sequence: 99});
  assert.equal(tracker.onAnnouncement(old, 10), 'outdated');
  assert.equal(tracker.instanceId, 'b');
});

test('a restart under the same id is a new incarnation with a new sequence', () => {
  const tracker = new incarnations.IncarnationTracker();
  tracker.onAnnouncement(announcement({sequence: 50}), 0);
  tracker.onDeregistration('i-1', undefined);
  assert.equal(tracker.state, 'leaving');
  const again = announcement({startMs: 5_000, sequence: 1, coldLeftMs: 900});
  assert.equal(tracker.onAnnouncement(again, 100), 'new-incarnation');
  assert.equal(tracker.state, 'ready');
  assert.ok(tracker.isCold(500));
});

test('an out-of-order announcement of leaving is applied, one of readiness is not', () => {
  const tracker = new incarnations.IncarnationTracker();
  tracker.onAnnouncement(announcement({sequence: 5}), 0);
  const late = announcement({sequence: 3, state: 'leaving'});
  assert.equal(tracker.onAnnouncement(late, 10), 'leaving');
  tracker.onAnnouncement(announcement({sequence: 6}), 20);
  assert.equal(tracker.state, 'leaving');
});

test('the deregistration of a former incarnation does not affect the current one', () => {
  const tracker = new incarnations.IncarnationTracker();
  tracker.onAnnouncement(announcement({startMs: 1_000}), 0);
  tracker.onAnnouncement(announcement({startMs: 5_000}), 10);
  assert.equal(tracker.onDeregistration('i-1', 1_000), 'outdated');
  assert.equal(tracker.onDeregistration('other', undefined), 'outdated');
  assert.equal(tracker.state, 'ready');
});

test('a health check sets the incarnation only before the first announcement', () => {
  const newTracker = new incarnations.IncarnationTracker();
  assert.equal(newTracker.onHealth(health('i-9', 800), 0), 'new-incarnation');
  assert.deepEqual([newTracker.instanceId, newTracker.slots], ['i-9', 6]);
  assert.ok(newTracker.isCold(100));

  const tracker = new incarnations.IncarnationTracker();
  tracker.onAnnouncement(announcement(), 0);
  assert.equal(tracker.onHealth(health('i-9'), 10), 'gone');
  assert.equal(tracker.state, 'absent');
  assert.equal(tracker.instanceId, 'i-1');
});

test('an announcement completes an incarnation taken from a health check', () => {
  const tracker = new incarnations.IncarnationTracker();
  tracker.onHealth(health('i-1'), 0);
  tracker.onAnnouncement(announcement({slots: 12}), 10);
  assert.deepEqual([tracker.instanceId, tracker.slots], ['i-1', 12]);
});

test('a health check detects an unannounced cold start', () => {
  const tracker = new incarnations.IncarnationTracker();
  tracker.onAnnouncement(announcement(), 0);
  assert.equal(tracker.onHealth(health('i-1', 0), 1_000), 'unchanged');
  assert.equal(tracker.onHealth(health('i-1', 3_000), 2_000), 'cold');
  assert.ok(tracker.isCold(4_900));
  assert.ok(!tracker.isCold(5_001));
});
