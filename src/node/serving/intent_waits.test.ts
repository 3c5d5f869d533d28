import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fleetSync from './fleet_sync.js';
import * as gateLink from './gate_link.js';
import * as gateLinks from './gate_links.js';
import * as intentWaits from './intent_waits.js';
import * as pulseInterval from './pulse_interval.js';
import * as servingNode from './serving_node.js';
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

/** Sizes of fleets, in nodes. */
const FLEET_SIZES = [3, 30, 300, 2_400];

/** Time for a message from a node to another one, its handling included. */
const HOP_MS = 50;

/** Time to open a connection and to exchange greetings. */
const OPEN_MS = 100;

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

test('a silent link is replaced in the time that the waits allow', () => {
  const timersMs =
    gateLinks.IDLE_TICK_INTERVAL_MS + 2 * servingNode.MAX_TICK_INTERVAL_MS;
  const replacedMs = timersMs + gateLink.PING_TIMEOUT_MS + OPEN_MS;
  assert.ok(replacedMs <= intentWaits.LINK_REPLACEMENT_MS, `${replacedMs}`);
});

// A link without requests was pinged after six seconds and more, longer than the bounds of
// configurations and evacuations (review/8).
test('a silent link is replaced before new intent must come over it', () => {
  for (const bounds of BOUNDS) {
    const {LINK_REPLACEMENT_MS, SPREAD_MS} = intentWaits;
    const pingAfterMs = intentWaits.linkPingAfterMs(bounds);
    const replacedMs = pingAfterMs + LINK_REPLACEMENT_MS;
    const boundMs = intentWaits.noticeMs(bounds);
    assert.ok(replacedMs + SPREAD_MS <= boundMs, `${replacedMs}`);
    // A node pings only if a pulse is late.
    assert.ok(intentWaits.readerPulseMs(bounds) < pingAfterMs);
  }
});

test('a new record spreads in the time that the waits allow', () => {
  const {READER_REQUEST_DELAY_MS, DATA_CENTRE_REQUEST_DELAY_MS} = fleetSync;
  for (const delayMs of [
    READER_REQUEST_DELAY_MS,
    DATA_CENTRE_REQUEST_DELAY_MS,
  ]) {
    // The pulse of the reader, the request of its state, and the state.
    const spreadMs = HOP_MS + delayMs + 2 * HOP_MS;
    assert.ok(spreadMs <= intentWaits.SPREAD_MS, `${spreadMs}`);
  }
});

// Idle links of larger fleets are pinged later, which must not hold for those to readers.
test('no size of the fleet makes new intent late over silent links', () => {
  for (const bounds of BOUNDS) {
    for (const nodes of FLEET_SIZES) {
      const pingAfterMs = Math.min(
        pulseInterval.idlePingAfterMs(nodes),
        intentWaits.linkPingAfterMs(bounds),
      );
      const {LINK_REPLACEMENT_MS, SPREAD_MS} = intentWaits;
      const sumMs = pingAfterMs + LINK_REPLACEMENT_MS + SPREAD_MS;
      const boundMs = intentWaits.noticeMs(bounds);
      assert.ok(sumMs <= boundMs, `${nodes} nodes: ${sumMs} of ${boundMs}`);
      const pulseMs = Math.min(
        pulseInterval.idlePulseIntervalMs(nodes),
        intentWaits.readerPulseMs(bounds),
      );
      assert.ok(pulseMs < pingAfterMs, `${nodes} nodes: ${pulseMs}`);
    }
  }
});
