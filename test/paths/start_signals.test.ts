import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as child from './child.js';
import * as loneNode from './lone_node.js';

const {before, test} = nodeTest;

const WAIT_MS = 10_000;

/** Starts of a node until one is seen between its first statement and its open ports. */
const ATTEMPTS = 5;

/** Time without a second reload, in ms. */
const QUIET_MS = 300;

before(loneNode.build);

/** Waits until the process handles SIGHUP; returns whether its ports are still closed then. */
function handlesSignalsEarly(node: child.Child, port: number): boolean {
  const endMs = performance.now() + WAIT_MS;
  // Without a pause, as a timer's delay is as long as the rest of a start.
  while (performance.now() < endMs) {
    if (loneNode.catches(node, 'SIGHUP')) return !loneNode.isListening(port);
  }
  return false;
}

/** Sends signals as soon as a starting node handles them, then runs the checks. */
async function signalAtStart(
  signals: readonly NodeJS.Signals[],
  check: (node: child.Child) => Promise<void>,
): Promise<void> {
  const {text, callersPort} = await loneNode.settings();
  const path = child.temporaryFile('node.jsonc', text);
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    await using node = loneNode.start(path);
    if (!handlesSignalsEarly(node, callersPort)) continue;
    for (const signal of signals) node.signal(signal);
    await check(node);
    return;
  }
  assert.fail('signals had no handlers before the ports were open');
}

test('SIGHUP while a node starts leads to one reload after the start', async () => {
  await signalAtStart(['SIGHUP', 'SIGHUP'], async node => {
    await node.waitForOutput('"event":"reload"');
    await new Promise(resolve => setTimeout(resolve, QUIET_MS));
    assert.match(node.printed, /"event":"start".*\n(.*\n)*.*"event":"reload"/);
    assert.equal(loneNode.countPrinted(node, '"event":"reload"'), 1);
    node.signal('SIGTERM');
    assert.equal(await node.exitStatus(), 0, node.printed);
  });
});

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  test(`${signal} while a node starts ends it with status 0, unstarted`, async () => {
    await signalAtStart([signal], async node => {
      assert.equal(await node.exitStatus(), 0, node.printed);
      assert.equal(node.printed, '');
    });
  });
}

test('SIGTERM after SIGHUP while a node starts ends it with status 0', async () => {
  await signalAtStart(['SIGHUP', 'SIGTERM', 'SIGHUP'], async node => {
    assert.equal(await node.exitStatus(), 0, node.printed);
  });
});
