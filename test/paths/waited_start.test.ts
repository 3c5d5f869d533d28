import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as child from './child.js';
import * as loneNode from './lone_node.js';

const {before, test} = nodeTest;

/** Time for which a port is taken, longer than any pause of a busy machine is likely to be. */
const TAKEN_MS = 3_000;

/** Time after a start in which a pause would be noticed, in ms. */
const QUIET_MS = 300;

before(loneNode.build);

// The wait for a port was taken for a pause of the process.
test('a start that waited for a port does not report a pause of that length', async () => {
  const {text, callersPort} = await loneNode.settings();
  const holder = net.createServer();
  await new Promise<void>(resolve =>
    holder.listen(callersPort, '127.0.0.1', resolve),
  );
  await using node = loneNode.start(child.temporaryFile('node.jsonc', text));
  await node.waitForOutput('"event":"listen-waiting"');
  await timers.setTimeout(TAKEN_MS);
  await new Promise(resolve => holder.close(resolve));
  await node.waitForOutput('"event":"start"');
  await timers.setTimeout(QUIET_MS);
  const pauses = [...node.printed.matchAll(/"pausedMs":(\d+)/g)].map(
    ([, pausedMs]) => Number(pausedMs),
  );
  const longest = Math.max(0, ...pauses);
  assert.ok(longest < TAKEN_MS / 2, `${longest} ms: ${node.printed}`);
});
