import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as child from './child.js';
import * as loneDaemon from './lone_daemon.js';
import * as loneNode from './lone_node.js';

const {test} = nodeTest;

/** Time in which the other ports would be opened, in ms. */
const QUIET_MS = 500;

// A stop, or the end of the wait, would cut off their requests.
test('geraniumloftd accepts no callers while its port for operators is taken', async () => {
  const {text, http, operator} = await loneDaemon.settings();
  const holder = net.createServer();
  await new Promise<void>(resolve =>
    holder.listen(operator, '127.0.0.1', resolve),
  );
  await using node = loneDaemon.start(child.temporaryFile('node.jsonc', text));
  await node.waitForOutput('listen-waiting: port for operators');
  await timers.setTimeout(QUIET_MS);
  const isOpen = loneNode.isListening(http);
  await new Promise(resolve => holder.close(resolve));
  await node.waitForOutput(': listening');
  assert.ok(loneNode.isListening(http));
  assert.equal(isOpen, false, node.printed);
});
