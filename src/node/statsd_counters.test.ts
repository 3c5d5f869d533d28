import * as assert from 'node:assert/strict';
import * as dgram from 'node:dgram';
import * as nodeTest from 'node:test';

import * as statsdCounters from './statsd_counters.js';

nodeTest.test('sends the sum of each counter with its prefix', async () => {
  const server = dgram.createSocket('udp4');
  await new Promise<void>(resolve => server.bind(0, '127.0.0.1', resolve));
  const received = new Promise<Buffer>(resolve =>
    server.once('message', resolve),
  );
  {
    await using count = new statsdCounters.StatsdCounters(
      {ip: '127.0.0.1', port: server.address().port, prefix: 'g.'},
      err => assert.fail(err),
    );
    count.increment('refusal.no-room');
    count.increment('refusal.no-room', 2);
    assert.deepEqual(count.snapshot(), {'refusal.no-room': 3});
  }
  const message = await received;
  server.close();
  assert.match(message.toString(), /g\.refusal\.no-room:3\|c/);
});
