/** Sum of the waits until nodes serve again that were gone. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as coldStartLimiter from '../../common/serving/cold_start_limiter.js';
import * as units from '../../common/units.js';
import * as fleetRegistry from './fleet_registry.js';
import * as gateLink from './gate_link.js';
import * as healthChecker from './health_checker.js';
import * as intentWaits from './intent_waits.js';
import * as storeLoop from './store_loop.js';
import * as topicFollower from './topic_follower.js';

/** Time from the return of all instances until requests must be served; published bound. */
const RECOVERY_MS: units.Millis = 15_000;

/** Time from the return of an instance until its process accepts connections. */
const START_MS: units.Millis = 1_500;

/** Time to open a connection and to exchange greetings. */
const OPEN_MS: units.Millis = 100;

/** Longest pause of a loop over the store whose backoff grows to `backoffMs`. */
function longestPauseMs(backoffMs: units.Millis): units.Millis {
  return backoffMs * (1 + storeLoop.JITTER_SHARE);
}

/** Time until peers are known: a call without an answer, the pause, the write and the read. */
function registrationMs(): units.Millis {
  const pauseMs = longestPauseMs(fleetRegistry.MAX_BACKOFF_MS);
  return topicFollower.LATE_ANSWER_MS + pauseMs + 2 * intentWaits.READ_MS;
}

/** Time until the configuration is known: a read without an answer, the pause and two reads. */
function configurationMs(): units.Millis {
  const pauseMs = longestPauseMs(topicFollower.MAX_BACKOFF_MS);
  return topicFollower.LATE_ANSWER_MS + pauseMs + 2 * intentWaits.READ_MS;
}

/** Time until a link is open whose attempts have failed for long. */
function linkMs(): units.Millis {
  return gateLink.OPEN_TIMEOUT_MS + gateLink.MAX_BACKOFF_MS + OPEN_MS;
}

/** Time until the server is known to be healthy and may run more than a cold one. */
function serverMs(): units.Millis {
  const checkMs = healthChecker.URGENT_INTERVAL_MS + healthChecker.TIMEOUT_MS;
  return checkMs + coldStartLimiter.WINDOW_MS;
}

nodeTest.test(
  'a fleet that is back serves before the bound of recovery',
  () => {
    // Peers that are not there yet connect to this node themselves.
    const peersMs = Math.max(registrationMs() + OPEN_MS, linkMs());
    const sumMs = START_MS + Math.max(peersMs, configurationMs()) + serverMs();
    assert.ok(sumMs <= RECOVERY_MS, `${sumMs} ms`);
  },
);
