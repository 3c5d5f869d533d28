import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as descriptorLimit from './descriptor_limit.js';

const {test} = nodeTest;

/** Ports for readiness, announcements and metrics. */
const LOCAL_PORTS = 3;

for (const descriptors of [300, 400, 4_100, 20_000]) {
  test(`callers leave descriptors to the rest of the process, of ${descriptors}`, () => {
    const {callers, greetings, local} = descriptorLimit.divide(descriptors);
    const others = descriptors - 200 - callers - greetings;
    assert.ok(others - LOCAL_PORTS * local >= (descriptors - 200) / 8);
    assert.ok(local > 0);
  });
}

test('the limit of the system is read', () => {
  const lines = [
    'Limit                     Soft Limit           Hard Limit           Units',
    'Max open files            400                  1048576              files',
  ];
  assert.equal(descriptorLimit.parseLimit(lines.join('\n')), 400);
  assert.equal(descriptorLimit.parseLimit(''), Infinity);
});

test('the setting applies where the system allows more', () => {
  assert.deepEqual(
    descriptorLimit.connectionBounds(300),
    descriptorLimit.divide(300),
  );
});
