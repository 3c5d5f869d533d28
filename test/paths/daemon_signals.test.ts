import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';

import * as child from './child.js';
import * as loneNode from './lone_node.js';

const {test} = nodeTest;

const PROGRAM = 'src/node/main.js';

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

/** Text of settings whose log service does not exist. */
async function settingsText(): Promise<string> {
  const [http, peer, operator, port] = await child.freePorts(4);
  return JSON.stringify({
    nodeId: 'node-0',
    dataCentre: 'couva',
    region: 'tt-central',
    service: 'orders',
    ip: '127.0.0.1',
    ports: {http, peer, operator},
    slots: 12,
    logService: {ip: '127.0.0.1', port},
    logLevel: 'info',
  });
}

function start(path: string): child.Child {
  return child.startProgram('node-0', PROGRAM, ['--settings', path]);
}

test('signals without a meaning do not end geraniumloftd', async () => {
  await using node = start(
    child.temporaryFile('node.jsonc', await settingsText()),
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
  const text = await settingsText();
  for (const signal of [...IGNORED, 'SIGTERM', 'SIGINT'] as const) {
    const path = child.temporaryFile('node.jsonc', '{');
    await using node = start(path);
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
