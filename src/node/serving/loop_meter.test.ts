import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as loopMeter from './loop_meter.js';

const {test} = nodeTest;

/** An event loop whose turns a test ends. */
class TestLoop {
  now = 0;
  private readonly polls: Array<() => void> = [];
  readonly meter = new loopMeter.LoopMeter({
    nowMs: () => this.now,
    afterPoll: callback => void this.polls.push(callback),
  });

  /** Handles messages that take `eachMs`; returns how long the last one may have waited. */
  turn(messages: number, eachMs: number): number {
    let waitedMs = 0;
    for (let i = 0; i < messages; i++) {
      waitedMs = this.meter.waitedMs();
      this.now += eachMs;
    }
    for (const callback of this.polls.splice(0)) callback();
    return waitedMs;
  }
}

// Servers ran requests whose callers had left while they waited behind others in sockets.
test('a message that is read behind many others may have waited for all of them', () => {
  const loop = new TestLoop();
  assert.equal(loop.turn(601, 5), 3_000);
});

test('a message of the next turn may have come at the start of a long one', () => {
  const loop = new TestLoop();
  loop.turn(600, 5);
  assert.equal(loop.turn(1, 5), 3_000);
  assert.equal(loop.turn(1, 5), 0);
});

test('a message that comes while the event loop waits is new', () => {
  const loop = new TestLoop();
  loop.turn(600, 5);
  loop.now += 100;
  assert.equal(loop.turn(1, 5), 0);
});

test('short turns of a busy event loop do not count', () => {
  const loop = new TestLoop();
  for (let i = 0; i < 100; i++) assert.equal(loop.turn(40, 5), 0);
});
