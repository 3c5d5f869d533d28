import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as clientCrowd from './client_crowd.js';
import * as unreadAnswers from './unread_answers.js';

const {test} = nodeTest;

const PATH = '/history/1';

for (const clients of [1, 20]) {
  test(`a node lives with ${clients} that send without end and read nothing`, async () => {
    await using fleet = await unreadAnswers.startFleet();
    const [node] = fleet.nodes;
    using crowd = new clientCrowd.ClientCrowd(node.callers);
    await unreadAnswers.sendWithoutEnd(crowd, node.process, clients, PATH);
    await unreadAnswers.checkNode(fleet, node);
  });
}

test('a node stops by itself beside clients that send without end and read nothing', async () => {
  await using fleet = await unreadAnswers.startFleet();
  const [node] = fleet.nodes;
  using crowd = new clientCrowd.ClientCrowd(node.callers);
  await unreadAnswers.sendWithoutEnd(crowd, node.process, 1, PATH);
  assert.ok(node.process.isRunning, node.process.printed.slice(-2_000));
  node.process.signal('SIGTERM');
  assert.equal(await node.process.exitStatus(), 0);
});
