import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as serving from '../../generated/serving.js';
import * as frameCodec from '../frame_codec.js';
import * as tcpListener from '../tcp_listener.js';
import * as linkFrame from './link_frame.js';

const {test} = nodeTest;

/** Sends a frame over a connection; returns what the other end made of it. */
async function deliver(
  frame: serving.NodeFrame,
): Promise<'frame' | 'malformed'> {
  const server = net.createServer();
  await tcpListener.listen(server, {ip: '127.0.0.1', port: 0});
  const {port} = server.address() as net.AddressInfo;
  const near = net.connect(port, '127.0.0.1');
  near.on('error', () => undefined);
  near.write(frameCodec.encodeFrame(serving.NodeFrame, frame));
  const seen = await new Promise<'frame' | 'malformed'>(resolve =>
    server.once('connection', far =>
      linkFrame.wrapSocket(far, 'near', {
        onConnect: () => undefined,
        onFrame: () => resolve('frame'),
        onMalformed: () => resolve('malformed'),
        onClose: () => undefined,
      }),
    ),
  );
  near.destroy();
  server.close();
  return seen;
}

function demandOf(ratePerSecond: number, burst: number): serving.NodeFrame {
  const demand = {workspace: 'a', count: 1, ratePerSecond, burst};
  return {
    body: {$case: 'tokenRequest', value: {number: 1, demands: [demand]}},
  };
}

function limitOf(limitPerSecond: number): serving.NodeFrame {
  const notice = {
    instanceId: 'i0',
    startMs: 1,
    limitPerSecond,
    leaving: false,
  };
  const value = serving.Dispatch.fromPartial({call: 1, notice});
  return {body: {$case: 'dispatch', value}};
}

function loadOf(limitPerSecond: number): serving.NodeFrame {
  const notice = {
    instanceId: 'i0',
    startMs: 1,
    limitPerSecond,
    leaving: false,
  };
  const value = serving.Pulse.fromPartial({load: {notice}});
  return {body: {$case: 'pulse', value}};
}

// A grant or a load counted with such a number could not be encoded, which ended the process.
for (const odd of [NaN, Infinity, -Infinity, -1]) {
  test(`a frame with the rate ${odd} is malformed`, async () => {
    assert.equal(await deliver(demandOf(odd, 1)), 'malformed');
    assert.equal(await deliver(demandOf(1, odd)), 'malformed');
    assert.equal(await deliver(limitOf(odd)), 'malformed');
    assert.equal(await deliver(loadOf(odd)), 'malformed');
  });
}

test('frames with rates of any size are read', async () => {
  for (const rate of [0, 5e-324, 1, Number.MAX_VALUE]) {
    assert.equal(await deliver(demandOf(rate, rate)), 'frame');
    assert.equal(await deliver(limitOf(rate)), 'frame');
    assert.equal(await deliver(loadOf(rate)), 'frame');
  }
});
