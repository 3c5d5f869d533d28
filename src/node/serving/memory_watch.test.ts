import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as memoryWatch from './memory_watch.js';

const {test} = nodeTest;

const MB = 1024 * 1024;

/** A watch of memory that the test sets. */
function makeWatch() {
  const events: string[] = [];
  const use = {rss: 100 * MB, heapUsed: 20 * MB, external: 0};
  const watch = new memoryWatch.MemoryWatch({
    memoryMb: 200,
    heapLimitBytes: 100 * MB,
    use: () => use,
    note: event => events.push(event),
  });
  return {
    events,
    check: (changed: Partial<typeof use>): void => {
      Object.assign(use, changed);
      watch.check();
    },
  };
}

test('memory that comes near the limit of the machine is noted once', () => {
  const {events, check} = makeWatch();
  check({});
  check({rss: 151 * MB});
  check({rss: 140 * MB});
  check({rss: 190 * MB});
  check({rss: 120 * MB});
  assert.deepEqual(events, ['memory-high', 'memory-normal']);
});

test('a heap that comes near its own limit is noted though the machine has room', () => {
  const {events, check} = makeWatch();
  check({heapUsed: 80 * MB});
  assert.deepEqual(events, ['memory-high']);
});

// Without free descriptors the check threw in a timer, which ended the process.
test('memory that cannot be read is not judged', test => {
  const events: string[] = [];
  const watch = memoryWatch.MemoryWatch.ofProcess(1, event =>
    events.push(event),
  );
  test.mock.method(process, 'memoryUsage', () => {
    throw Object.assign(new Error('uv_resident_set_memory'), {code: 'EMFILE'});
  });
  watch.check();
  assert.deepEqual(events, []);
  test.mock.restoreAll();
  watch.check();
  assert.deepEqual(events, ['memory-high']);
});
