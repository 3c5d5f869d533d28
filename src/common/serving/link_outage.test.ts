import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as units from '../units.js';
import * as linkOutage from './link_outage.js';

const {test} = nodeTest;

function outage(
  durationMs: units.Millis,
  openFailures?: linkOutage.OpenFailures,
): linkOutage.LinkOutage {
  return {durationMs, openFailures};
}

test('a gate that is silent is waited for, however long', () => {
  const {verdictOf} = linkOutage;
  for (const repeatable of [true, false]) {
    assert.equal(verdictOf(outage(50), repeatable), 'pending');
    assert.equal(verdictOf(outage(4_000), repeatable), 'unknown');
  }
});

test('a request that may be repeated can be retried sooner than another', () => {
  const silent = outage(500);
  assert.equal(linkOutage.verdictOf(silent, true), 'unknown');
  assert.equal(linkOutage.verdictOf(silent, false), 'pending');
});

test('an address that refuses connections has no process that could answer', () => {
  const refused = outage(1_200, {kind: 'refused', durationMs: 1_100});
  assert.equal(linkOutage.verdictOf(refused, true), 'process-ended');
  assert.equal(linkOutage.verdictOf(refused, false), 'process-ended');
  const once = outage(150, {kind: 'refused', durationMs: 100});
  assert.equal(linkOutage.verdictOf(once, true), 'pending');
});

test('only a request that its caller may repeat is lost with an unreachable instance', () => {
  const cut = outage(2_300, {kind: 'unanswered', durationMs: 2_100});
  assert.equal(linkOutage.verdictOf(cut, true), 'unreachable');
  assert.equal(linkOutage.verdictOf(cut, false), 'unknown');
  const queued = outage(1_700, {kind: 'unanswered', durationMs: 1_600});
  assert.equal(linkOutage.verdictOf(queued, true), 'unknown');
});
