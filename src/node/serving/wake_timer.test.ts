import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as wakeTimer from './wake_timer.js';

const {mock, test} = nodeTest;

function startTimer(): {
  readonly timer: wakeTimer.WakeTimer;
  readonly wakes: readonly number[];
} {
  mock.timers.enable({apis: ['setTimeout', 'Date'], now: 0});
  const wakes: number[] = [];
  const timer = new wakeTimer.WakeTimer({
    nowMs: () => Date.now(),
    onWake: () => void wakes.push(Date.now()),
  });
  return {timer, wakes};
}

// A later time that replaced an earlier one would delay deadlines; both would wake twice.
test('the earliest time scheduled wakes once', t => {
  t.after(() => mock.timers.reset());
  const {timer, wakes} = startTimer();
  for (const dueMs of [50, 20, 30]) timer.schedule(dueMs);
  mock.timers.tick(20);
  assert.deepEqual(wakes, [20]);
  mock.timers.tick(80);
  timer.schedule(130);
  mock.timers.tick(30);
  assert.deepEqual(wakes, [20, 130]);
});

test('a timer that was disposed does not wake again', t => {
  t.after(() => mock.timers.reset());
  const {timer, wakes} = startTimer();
  timer.schedule(10);
  timer[Symbol.dispose]();
  timer.schedule(20);
  mock.timers.tick(100);
  assert.deepEqual(wakes, []);
});
