import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';

import * as child from './child.js';
import * as loneDaemon from './lone_daemon.js';
import * as loneNode from './lone_node.js';

const {test} = nodeTest;

const WAIT_MS = 10_000;

/** Time after the ports are open in which the process would end, in ms. */
const QUIET_MS = 300;

/** Writing to it fails as on a file system without space. */
const FULL = '/dev/full';

// Each line on standard error that cannot be written was an error that nothing handled.
test('geraniumloftd lives while its log cannot be written', async () => {
  const {text, http} = await loneDaemon.settings();
  const path = child.temporaryFile('node.jsonc', text);
  const full = fs.openSync(FULL, 'w');
  const started = childProcess.spawn(
    process.execPath,
    [`build/${loneDaemon.PROGRAM}`, '--settings', path],
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
