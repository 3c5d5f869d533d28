import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as counters from '../common/counters.js';
import * as operatorClient from './operator_client.js';
import * as operatorContract from './operator_contract.js';
import * as operatorServer from './operator_server.js';

function fakeService(): operatorContract.OperatorService {
  return {
    status: () => ({nodeId: 'orders-1'}) as operatorContract.NodeStatus,
    configuration: () => undefined,
    explain: service => ({service}),
    peerState: fromOffset => ({
      nodeId: 'orders-1',
      rosterOffset: (fromOffset ?? 0) + 7,
      roster: [],
      complete: true,
      provisional: [],
      suspects: [],
      logAgeMs: 1,
    }),
  };
}

async function freePort(): Promise<number> {
  const probe = net.createServer();
  await new Promise<void>(resolve => probe.listen(0, '127.0.0.1', resolve));
  const port = (probe.address() as net.AddressInfo).port;
  await new Promise(resolve => probe.close(resolve));
  return port;
}

async function startServer(
  service: operatorContract.OperatorService,
  peerSources: readonly string[],
  count = new counters.MemoryCounters(),
) {
  const port = await freePort();
  const options = {
    ip: '127.0.0.1',
    port,
    peerSources,
    service,
    counters: count,
  };
  const listening = await operatorServer.OperatorServer.listen(options);
  return {
    listening,
    port,
    client: new operatorClient.OperatorClient({
      ip: '127.0.0.1',
      port,
      timeoutMs: 2_000,
    }),
  };
}

nodeTest.test('answers queries', async () => {
  const started = await startServer(fakeService(), ['127.0.0.1']);
  await using unusedServer = started.listening;
  assert.equal((await started.client.status()).nodeId, 'orders-1');
  assert.equal(await started.client.configuration(), null);
  assert.deepEqual(await started.client.explain('orders'), {service: 'orders'});
  assert.equal((await started.client.peerState(3)).rosterOffset, 10);
});

nodeTest.test(
  'rejects sources that are not configured and counts them',
  async () => {
    const count = new counters.MemoryCounters();
    const started = await startServer(fakeService(), ['127.0.0.9'], count);
    await using unusedServer = started.listening;
    await assert.rejects(
      started.client.status(),
      operatorClient.OperatorCallError,
    );
    assert.ok(count.get('source.rejected') >= 1);
  },
);

nodeTest.test('serves queries after malformed HTTP', async () => {
  const count = new counters.MemoryCounters();
  const started = await startServer(fakeService(), ['127.0.0.1'], count);
  await using unusedServer = started.listening;
  const socket = net.connect(started.port, '127.0.0.1');
  socket.end('\x00\x01 nonsense\r\n\r\n');
  await new Promise(resolve =>
    socket.on('error', () => {}).once('close', resolve),
  );
  assert.equal(count.get('malformed.http'), 1);
  assert.equal((await started.client.status()).nodeId, 'orders-1');
});
