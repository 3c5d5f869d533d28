import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as peer from '../generated/peer.js';
import * as frameCodec from './frame_codec.js';
import * as framedSocket from './framed_socket.js';
import * as tcpListener from './tcp_listener.js';

const MAX_FRAME_BYTES = 1024 * 1024;

/** Returns two ends of a connection over loopback, destroyed after the test. */
async function connect(
  test: nodeTest.TestContext,
): Promise<readonly [net.Socket, net.Socket]> {
  const server = net.createServer();
  await tcpListener.listen(server, {ip: '127.0.0.1', port: 0});
  const {port} = server.address() as net.AddressInfo;
  const accepted = new Promise<net.Socket>(resolve =>
    server.once('connection', resolve),
  );
  const near = net.connect({host: '127.0.0.1', port});
  const far = await accepted;
  server.close();
  test.after(() => {
    near.destroy();
    far.destroy();
  });
  return [near, far];
}

nodeTest.test(
  'bytes of a frame that is not complete are reported as progress',
  async test => {
    const [near, far] = await connect(test);
    const bytes = frameCodec.encodeFrame(peer.Frame, {
      body: {$case: 'ping', value: {nonce: 1}},
    });
    const received: string[] = [];
    await new Promise<void>(resolve => {
      new framedSocket.FramedSocket(far, peer.Frame, MAX_FRAME_BYTES, 'near', {
        onConnect: () => undefined,
        onBytes: () => {
          if (received.push('bytes') === 1) near.write(bytes.subarray(3));
        },
        onFrame: () => {
          received.push('frame');
          resolve();
        },
        onMalformed: () => undefined,
        onClose: () => undefined,
      });
      near.write(bytes.subarray(0, 3));
    });
    assert.deepEqual(received, ['bytes', 'bytes', 'frame']);
  },
);
