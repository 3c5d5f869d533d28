import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as bundle from './bundle.js';
import * as clientCrowd from './client_crowd.js';
import * as fleet from './fleet.js';
import * as unreadAnswers from './unread_answers.js';

const {test} = nodeTest;

const {MIB} = unreadAnswers;

const PATH = '/orders/1';

const PAIRS = 3;

/** Bounds of messages, above the largest answers of the tests. */
const BOUNDS = {bodyBytes: 16 * MIB};

interface DaemonFleet extends AsyncDisposable {
  readonly pairs: readonly fleet.Pair[];
}

/** Three daemons of the product's own interface, with servers whose answers have a least length. */
async function startFleet(bodyBytes: number): Promise<DaemonFleet> {
  const all = await fleet.Fleet.start(fleet.testConfiguration());
  const pairs: fleet.Pair[] = [];
  for (let i = 0; i < PAIRS; i++) {
    const pair = await all.addPair({
      nodeId: `orders-${i}`,
      mode: {bodyBytes},
      settings: {bounds: BOUNDS},
      nodeArgs: bundle.NODE_ARGS,
    });
    pairs.push(pair);
  }
  await all.waitUntilReady(pairs);
  return {pairs, [Symbol.asyncDispose]: () => all[Symbol.asyncDispose]()};
}

/** Checks that a daemon serves an ordinary request, and that all have kept within their bounds. */
async function checkDaemons(pairs: readonly fleet.Pair[]): Promise<void> {
  const [pair] = pairs;
  assert.ok(pair.node.isRunning, pair.node.printed.slice(-2_000));
  for (const each of pairs) await fleet.setMode(each, {bodyBytes: 0});
  const {status} = await fleet.call(pair.httpPort, {path: PATH});
  assert.equal(status, 200, pair.node.printed.slice(-2_000));
  for (const {node} of pairs) unreadAnswers.checkProcess(node);
}

for (const clients of [1, 20]) {
  test(`geraniumloftd lives with ${clients} that send without end and read nothing`, async () => {
    await using all = await startFleet(0);
    const [{node, httpPort}] = all.pairs;
    using crowd = new clientCrowd.ClientCrowd(`127.0.0.1:${httpPort}`);
    await unreadAnswers.sendWithoutEnd(crowd, node, clients, PATH);
    await checkDaemons(all.pairs);
  });
}

for (const isRead of [false, true]) {
  const way = isRead ? 'read slowly' : 'do not read';
  test(`geraniumloftd lives with 30 that ${way} 1 of 12 MiB each`, async () => {
    await using all = await startFleet(12 * MIB);
    const [{httpPort}] = all.pairs;
    using crowd = new clientCrowd.ClientCrowd(`127.0.0.1:${httpPort}`);
    await unreadAnswers.leaveUnread(
      crowd,
      30,
      unreadAnswers.requestsBehindOneAnother(1, PATH),
      isRead ? unreadAnswers.readSlowly : undefined,
    );
    await checkDaemons(all.pairs);
  });
}
