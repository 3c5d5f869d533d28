import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as faultRelay from './fault_relay.js';

const BYTES = 300_000;
const BYTES_PER_SECOND = 1_000_000;

/** Reads a connection to its end; returns the number of bytes. */
async function readAll(address: string): Promise<number> {
  const [host, port] = address.split(':');
  let bytes = 0;
  for await (const chunk of net.connect(Number(port), host)) {
    bytes += (chunk as Buffer).length;
  }
  return bytes;
}

nodeTest.test(
  'connections share a limited rate and lose nothing at their end',
  async () => {
    const target = net.createServer(socket => socket.end(Buffer.alloc(BYTES)));
    await new Promise<void>(resolve => target.listen(0, '127.0.0.1', resolve));
    const {port} = target.address() as net.AddressInfo;
    await using relay = new faultRelay.FaultRelay(port);
    const address = await relay.listen();
    relay.limitRate(BYTES_PER_SECOND);
    const startMs = performance.now();
    const read = await Promise.all([readAll(address), readAll(address)]);
    const elapsedMs = performance.now() - startMs;
    target.close();
    assert.deepEqual(read, [BYTES, BYTES]);
    const leastMs = (2 * BYTES * 1_000) / BYTES_PER_SECOND;
    assert.ok(elapsedMs >= 0.9 * leastMs, `${elapsedMs} ms`);
  },
);
