import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as clock from '../clock.js';
import * as nodeStop from './node_stop.js';

/** Limits of the platform until a process is killed. */
const STOP_LIMITS_MS = [1_000, 2_000, 6_000];

/** Time from the start of a stop until each of its steps. */
interface StopTimes {
  readonly closingMs: number;
  readonly portClosedMs: number;
  readonly givenUpMs: number;
  readonly finishedMs: number;
}

/** Stops a node one of whose requests is never answered by its server. */
async function stopWithOpenRequest(stopMs: number): Promise<StopTimes> {
  const startedMs = clock.monotonicMs();
  const sinceMs = (): number => clock.monotonicMs() - startedMs;
  const times = {closingMs: NaN, portClosedMs: NaN, givenUpMs: NaN};
  let unanswered = 1;
  const stop = new nodeStop.NodeStop({
    stopMs,
    begin: () => undefined,
    entry: {
      get unanswered() {
        return unanswered;
      },
      announceClosing: () => (times.closingMs = sinceMs()),
      stopAt: () => undefined,
      closePort: () => (times.portClosedMs = sinceMs()),
      giveUpAll: () => {
        times.givenUpMs = sinceMs();
        unanswered = 0;
      },
    },
    gate: {unfinished: 0, endUnconfirmedLinks: () => 0},
  });
  await stop.finished;
  return {...times, finishedMs: sinceMs()};
}

// With a limit of two seconds callers were answered after 2.3 s, when the process had been killed.
nodeTest.test(
  'a stop answers all callers before the kill, whatever its limit is',
  async () => {
    const times = await Promise.all(STOP_LIMITS_MS.map(stopWithOpenRequest));
    for (const [i, stopMs] of STOP_LIMITS_MS.entries()) {
      const {closingMs, portClosedMs, givenUpMs, finishedMs} = times[i];
      const label = `${JSON.stringify(times[i])} of ${stopMs} ms`;
      assert.ok(closingMs <= portClosedMs, label);
      assert.ok(portClosedMs <= givenUpMs, label);
      assert.ok(givenUpMs < stopMs, label);
      assert.ok(finishedMs < stopMs, label);
    }
  },
);
