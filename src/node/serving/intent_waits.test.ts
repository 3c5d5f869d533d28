import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as intentWaits from './intent_waits.js';
import * as topicFollower from './topic_follower.js';

const {test} = nodeTest;

function boundsOf(
  contact_s: number,
  config_s: number,
  evacuate_s: number,
): intentWaits.IntentBounds {
  return {
    contactMs: contact_s * 1_000,
    configurationMs: config_s * 1_000,
    evacuationMs: evacuate_s * 1_000,
  };
}

/** Bounds of deployments, and others. */
const BOUNDS: readonly intentWaits.IntentBounds[] = [
  boundsOf(3, 2, 5),
  boundsOf(3, 2.5, 5),
  boundsOf(4, 3, 6),
  boundsOf(3, 19, 19),
  boundsOf(2.5, 2, 2),
];

/** Longest pause after the first failure of a read, its random part included. */
const FIRST_PAUSE_MS = 150;

// A wait of 2.5 s and 1.5 s for its answer were longer than the bounds of configuration (review/9).
test('waits on the store add up to less than the bounds', () => {
  for (const bounds of BOUNDS) {
    const boundMs = Math.max(
      bounds.contactMs,
      Math.min(bounds.configurationMs, bounds.evacuationMs),
    );
    const {LATE_READ_MS, READ_MS, SPREAD_MS} = intentWaits;
    const readWaitMs = intentWaits.readWaitMs(bounds);
    const afterSilenceMs = readWaitMs + LATE_READ_MS + READ_MS + SPREAD_MS;
    assert.ok(afterSilenceMs <= boundMs, `${afterSilenceMs} of ${boundMs}`);
    const periodMs = intentWaits.retryPeriodMs(bounds);
    const failedReadMs = topicFollower.LATE_ANSWER_MS + FIRST_PAUSE_MS;
    assert.ok(failedReadMs <= periodMs);
    const afterOutageMs = periodMs + READ_MS + SPREAD_MS;
    assert.ok(afterOutageMs <= boundMs, `${afterOutageMs} of ${boundMs}`);
  }
});
