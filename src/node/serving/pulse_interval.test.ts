import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as entrySessions from './entry_sessions.js';
import * as pulseInterval from './pulse_interval.js';

nodeTest.test('idle pulses of a node do not grow with the fleet', () => {
  for (const nodes of [50, 90, 300, 375]) {
    const perSecond = (nodes * 1_000) / pulseInterval.idlePulseMs(nodes);
    assert.ok(perSecond <= 13, `${perSecond} a second at ${nodes} nodes`);
  }
  assert.equal(pulseInterval.idlePulseMs(3), 4_000);
});

nodeTest.test('an entry asks only after pulses have failed to come', () => {
  for (const nodes of [1, 90, 2_400]) {
    const silenceMs = pulseInterval.idleSilenceMs(nodes);
    assert.ok(silenceMs > pulseInterval.idlePulseMs(nodes));
    assert.ok(silenceMs < entrySessions.IDLE_TIMEOUT_MS);
  }
});
