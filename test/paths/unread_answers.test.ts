import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as clientCrowd from './client_crowd.js';
import * as unreadAnswers from './unread_answers.js';

const {test} = nodeTest;

const {MIB} = unreadAnswers;

const PATH = '/history/1';

/** Clients, and the answers that each of them leaves unread. */
const CROWDS = [
  {clients: 30, answers: 1, bodyBytes: 12 * MIB, isRead: false},
  {clients: 30, answers: 1, bodyBytes: 12 * MIB, isRead: true},
  {clients: 40, answers: 8, bodyBytes: 2 * MIB, isRead: false},
  {clients: 12, answers: 60, bodyBytes: 2 * MIB, isRead: false},
];

for (const {clients, answers, bodyBytes, isRead} of CROWDS) {
  const way = isRead ? 'read slowly' : 'do not read';
  const name = `${clients} that ${way} ${answers} of ${bodyBytes / MIB} MiB each`;
  test(`a node lives with ${name}`, async () => {
    await using fleet = await unreadAnswers.startFleet();
    const [node] = fleet.nodes;
    for (const {server} of fleet.nodes) {
      server.mode = {kind: 'ok', workMs: 1, bodyBytes};
    }
    const text = unreadAnswers.requestsBehindOneAnother(answers, PATH);
    using crowd = new clientCrowd.ClientCrowd(node.callers);
    await unreadAnswers.leaveUnread(
      crowd,
      clients,
      text,
      isRead ? unreadAnswers.readSlowly : undefined,
    );
    await unreadAnswers.checkNode(fleet, node);
  });
}

test('a node stops by itself beside clients that do not read large answers', async () => {
  await using fleet = await unreadAnswers.startFleet();
  const [node] = fleet.nodes;
  for (const {server} of fleet.nodes) {
    server.mode = {kind: 'ok', workMs: 1, bodyBytes: 12 * MIB};
  }
  const text = unreadAnswers.requestsBehindOneAnother(1, PATH);
  using crowd = new clientCrowd.ClientCrowd(node.callers);
  await unreadAnswers.leaveUnread(crowd, 5, text);
  assert.ok(node.process.isRunning, node.process.printed.slice(-2_000));
  node.process.signal('SIGTERM');
  assert.equal(await node.process.exitStatus(), 0);
});
