import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as telemetry from './telemetry.js';

const LINE =
  /^geraniumloft_decisions_total\{component="gate",event="refused",reason="FULL"\} (\d+)$/m;

const KINDS = ['large-bodies', 'small-bodies', 'all', 'limit'];

// Guards against decisions that are counted twice or lost, as they are added up until a reading.
nodeTest.test(
  'each decision is counted once, however often metrics are read',
  async () => {
    const metrics = new telemetry.Telemetry({write: () => undefined});
    const refuse = (): void =>
      metrics.write({
        component: 'gate',
        event: 'refused',
        importance: 'routine',
        facts: {reason: 'FULL'},
      });
    const count = async (): Promise<number> =>
      Number(LINE.exec(await metrics.text())?.[1]);
    refuse();
    refuse();
    assert.equal(await count(), 2);
    assert.equal(await count(), 2);
    refuse();
    assert.equal(await count(), 3);
  },
);

nodeTest.test('the memory that is held for callers is shown', async () => {
  const metrics = new telemetry.Telemetry({write: () => undefined});
  metrics.setCallerMemory(() => ({
    largeBytes: 1,
    smallBytes: 2,
    usedBytes: 3,
    maxBytes: 4,
  }));
  const text = await metrics.text();
  for (const [i, kind] of KINDS.entries()) {
    const line = `geraniumloft_caller_memory_bytes{kind="${kind}"} ${i + 1}\n`;
    assert.ok(text.includes(line), text);
  }
});
