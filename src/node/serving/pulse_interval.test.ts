import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as entrySessions from './entry_sessions.js';
import * as pulseInterval from './pulse_interval.js';

nodeTest.test(
  'the rate of idle pulses of a node does not grow with the fleet',
  () => {
    for (const nodes of [50, 90, 300, 375]) {
      const perSecond =
        (nodes * 1_000) / pulseInterval.idlePulseIntervalMs(nodes);
      assert.ok(perSecond <= 13, `${perSecond} per second at ${nodes} nodes`);
    }
    assert.equal(pulseInterval.idlePulseIntervalMs(3), 4_000);
  },
);

nodeTest.test(
  'an entry pings after a missed pulse and before its session times out',
  () => {
    for (const nodes of [1, 90, 2_400]) {
      const pingAfterMs = pulseInterval.idlePingAfterMs(nodes);
      assert.ok(pingAfterMs > pulseInterval.idlePulseIntervalMs(nodes));
      assert.ok(pingAfterMs < entrySessions.IDLE_TIMEOUT_MS);
    }
  },
);
