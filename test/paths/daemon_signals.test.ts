import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';

import * as child from './child.js';
import * as loneDaemon from './lone_daemon.js';
import * as loneNode from './lone_node.js';

const {test} = nodeTest;

const WAIT_MS = 10_000;

/** Signals that have no meaning for geraniumloftd, which reads its settings once. */
const IGNORED = [
  'SIGHUP',
  'SIGUSR1',
  'SIGUSR2',
  'SIGALRM',
  'SIGVTALRM',
  'SIGPROF',
  'SIGIO',
] as const;

test('signals without a meaning do not end geraniumloftd', async () => {
  await using node = loneDaemon.start(
    child.temporaryFile('node.jsonc', (await loneDaemon.settings()).text),
  );
  await node.waitForOutput('listening');
  for (const signal of IGNORED) {
    node.signal(signal);
    await child.waitUntil(
      () => !node.isRunning || node.printed.includes(`ignored ${signal}`),
      WAIT_MS,
      () => `a line for ${signal}; printed ${node.printed}`,
    );
    assert.ok(node.isRunning, signal);
  }
  assert.doesNotMatch(node.printed, /Debugger/);
  node.signal('SIGTERM');
  for (const signal of IGNORED) node.signal(signal);
  assert.equal(await node.exitStatus(), 0, node.printed);
});

test('signals while geraniumloftd starts do not end it, or with status 0', async () => {
  const text = (await loneDaemon.settings()).text;
  for (const signal of [...IGNORED, 'SIGTERM', 'SIGINT'] as const) {
    const path = child.temporaryFile('node.jsonc', '{');
    await using node = loneDaemon.start(path);
    await child.waitUntil(
      () => !node.isRunning || loneNode.catches(node, 'SIGIO'),
      WAIT_MS,
      () => 'handlers of signals',
    );
    assert.doesNotMatch(node.printed, /listening/);
    node.signal(signal);
    if (signal === 'SIGTERM' || signal === 'SIGINT') {
      assert.equal(await node.exitStatus(), 0, node.printed);
      continue;
    }
    fs.writeFileSync(path, text);
    await child.waitUntil(
      () => !node.isRunning || node.printed.includes(`ignored ${signal}`),
      WAIT_MS,
      () => `a line for ${signal}; printed ${node.printed}`,
    );
    assert.match(node.printed, /listening/);
  }
});
