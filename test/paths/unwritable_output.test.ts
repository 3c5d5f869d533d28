import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';

import * as child from './child.js';
import * as loneNode from './lone_node.js';

const {test} = nodeTest;

const WAIT_MS = 10_000;

/** Time after the ports are open in which the process would end, in ms. */
const QUIET_MS = 300;

/** Writing to it fails as on a file system without space. */
const FULL = '/dev/full';

// Each line on standard error that cannot be written was an error that nothing handled.
test('geraniumloftd lives while its log cannot be written', async () => {
  const [http, peer, operator, port] = await child.freePorts(4);
  const path = child.temporaryFile(
    'node.jsonc',
    JSON.stringify({
      nodeId: 'node-0',
      dataCentre: 'couva',
      region: 'tt-central',
      service: 'orders',
      ip: '127.0.0.1',
      ports: {http, peer, operator},
      slots: 12,
      logService: {ip: '127.0.0.1', port},
      logLevel: 'info',
    }),
  );
  const full = fs.openSync(FULL, 'w');
  const started = childProcess.spawn(
    process.execPath,
    ['build/src/node/main.js', '--settings', path],
    {stdio: ['ignore', full, full]},
  );
  fs.closeSync(full);
  await using node = new child.Child(started, 'node-0');
  await child.waitUntil(
    () => !node.isRunning || loneNode.isListening(http),
    WAIT_MS,
    () => 'the port for callers',
  );
  await new Promise(resolve => setTimeout(resolve, QUIET_MS));
  assert.ok(node.isRunning, `ended with status ${started.exitCode}`);
  node.signal('SIGTERM');
  assert.equal(await node.exitStatus(), 0);
});
