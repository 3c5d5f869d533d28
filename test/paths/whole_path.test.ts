import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as serverStandIn from '../stand_ins/server/server_stand_in.js';
import * as fleet from './fleet.js';

function assertAnswerTo(answer: fleet.Answer, requestId: string): void {
  assert.equal(answer.status, 200, answer.body.toString());
  assert.equal(answer.headers['geraniumloft-request-id'], requestId);
  assert.equal(answer.headers['content-length'], String(answer.body.length));
  assert.equal(
    answer.headers['x-checksum'],
    serverStandIn.checksum(answer.body),
  );
  const body = JSON.parse(answer.body.toString()) as {
    readonly requestId: string;
  };
  assert.equal(body.requestId, requestId);
}

nodeTest.test(
  'GET and POST reach a backend server through the local and a remote gate',
  async () => {
    await using all = await fleet.Fleet.start(fleet.testConfiguration());
    const orders = await all.addPair({nodeId: 'orders-1'});
    const catalogue = await all.addPair({
      nodeId: 'catalogue-1',
      service: 'catalogue',
    });
    await all.waitUntilReady([orders, catalogue]);
    for (const pair of [orders, catalogue]) {
      for (const method of ['GET', 'POST']) {
        const requestId = `${pair.nodeId}-${method}`;
        const answer = await fleet.call(pair.httpPort, {
          method,
          path: '/orders/17',
          headers: {'Geraniumloft-Request-Id': requestId},
          body: method === 'POST' ? 'mops' : undefined,
        });
        assertAnswerTo(answer, requestId);
        const runs = await fleet.runsOf(orders);
        assert.equal(runs.byRequestId[requestId], 1);
      }
    }
    assert.equal((await fleet.runsOf(catalogue)).total, 0);
  },
);

nodeTest.test('a request without a route is refused as not run', async () => {
  await using all = await fleet.Fleet.start(fleet.testConfiguration());
  const orders = await all.addPair({nodeId: 'orders-1'});
  await all.waitUntilReady([orders]);
  const answer = await fleet.call(orders.httpPort, {path: '/nowhere'});
  assert.equal(answer.status, 404);
  assert.equal(answer.headers['geraniumloft-outcome'], 'not-run');
  assert.equal(answer.headers['geraniumloft-reason'], 'no-route');
  assert.equal(answer.headers['content-type'], 'application/problem+json');
  assert.equal((await fleet.runsOf(orders)).total, 0);
});
