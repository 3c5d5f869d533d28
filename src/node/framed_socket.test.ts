import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as peer from '../generated/peer.js';
import * as serving from '../generated/serving.js';
import * as frameCodec from './frame_codec.js';
import * as framedSocket from './framed_socket.js';
import * as frameParts from './frame_parts.js';
import * as linkFrame from './serving/link_frame.js';
import * as tcpListener from './tcp_listener.js';

const SEED = Number(process.env['SEED'] ?? 7);
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

nodeTest.test(
  'a protocol without parts sends long frames whole and in order',
  async test => {
    const [near, far] = await connect(test);
    const value = peer.CallRequest.fromPartial({
      callId: 'a',
      body: Buffer.alloc(8 * frameParts.PART_BYTES, 7),
    });
    const sent: readonly peer.Frame[] = [
      {body: {$case: 'request', value}},
      {body: {$case: 'ping', value: {nonce: 1}}},
    ];
    const received: peer.Frame[] = [];
    const ended = new Promise<void>(resolve => {
      const listener = {
        onConnect: () => undefined,
        onFrame: (frame: peer.Frame) => void received.push(frame),
        onMalformed: () => undefined,
        onClose: () => resolve(),
      };
      new framedSocket.FramedSocket(
        far,
        peer.Frame,
        MAX_FRAME_BYTES,
        'near',
        listener,
      );
    });
    const socket = new framedSocket.FramedSocket(
      near,
      peer.Frame,
      MAX_FRAME_BYTES,
      'far',
      {
        onConnect: () => undefined,
        onFrame: () => undefined,
        onMalformed: () => undefined,
        onClose: () => undefined,
      },
    );
    socket.allowParts();
    for (const frame of sent) socket.send(frame);
    socket.end();
    await ended;
    assert.deepEqual(received, sent);
  },
);

const MIB = 1024 * 1024;

/** Longer than the send and receive buffers of the operating system together. */
const UNREAD_BYTES = 32 * MIB;

/** Time within which the operating system's buffers fill over loopback. */
const FILL_MS = 100;

type Kind = NonNullable<serving.NodeFrame['body']>['$case'];

/** An end of a link between nodes that records the frames it receives. */
class End {
  readonly received: serving.NodeFrame[] = [];
  readonly socket: framedSocket.FramedSocket<serving.NodeFrame>;
  malformed = false;
  closed = false;
  private check = (): void => undefined;

  constructor(readonly connection: net.Socket) {
    this.socket = linkFrame.wrapSocket(connection, 'other', {
      onConnect: () => undefined,
      onFrame: frame => {
        this.received.push(frame);
        if (frame.body?.$case === 'ping') this.send(pulseFrame());
        this.check();
      },
      onMalformed: () => (this.malformed = true),
      onClose: () => {
        this.closed = true;
        this.check();
      },
    });
  }

  get kinds(): readonly (Kind | undefined)[] {
    return this.received.map(({body}) => body?.$case);
  }

  send(...frames: readonly serving.NodeFrame[]): void {
    for (const frame of frames) this.socket.send(frame);
  }

  /** Resolves once this end has received some frames or the connection has ended. */
  async receives(count: number): Promise<void> {
    await this.until(() => this.received.length >= count || this.closed);
    assert.ok(this.received.length >= count, `got ${this.received.length}`);
  }

  until(condition: () => boolean): Promise<void> {
    return new Promise(resolve => {
      this.check = () => {
        if (condition()) resolve();
      };
      this.check();
    });
  }
}

function answerFrame(call: number, bodyBytes: number): serving.NodeFrame {
  const body = Buffer.alloc(bodyBytes, call);
  const value = serving.Answer.fromPartial({call, status: 200, body});
  return {body: {$case: 'answer', value}, sentMs: call};
}

function pingFrame(): serving.NodeFrame {
  return {body: {$case: 'ping', value: {}}, sentMs: 1};
}

function pulseFrame(): serving.NodeFrame {
  return {body: {$case: 'pulse', value: serving.Pulse.fromPartial({})}};
}

/** Returns both ends of a link; the near one sends parts. */
async function connectNodes(test: nodeTest.TestContext): Promise<[End, End]> {
  const [near, far] = (await connect(test)).map(socket => new End(socket));
  near.socket.allowParts();
  return [near, far];
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

nodeTest.test(
  'a ping after a long frame is answered before that frame has arrived',
  async test => {
    const [near, far] = await connectNodes(test);
    near.send(answerFrame(1, 2 * MIB), pingFrame());
    await far.receives(2);
    assert.deepEqual(far.kinds, ['ping', 'answer']);
    await near.receives(1);
    assert.deepEqual(far.received[1], answerFrame(1, 2 * MIB));
  },
);

nodeTest.test(
  'a ping overtakes a long frame on a link that is read slowly',
  async test => {
    const [near, far] = await connectNodes(test);
    far.connection.pause();
    near.send(answerFrame(1, UNREAD_BYTES));
    await pause(FILL_MS);
    near.send(pingFrame());
    far.connection.resume();
    await far.receives(2);
    assert.deepEqual(far.kinds, ['ping', 'answer']);
  },
);

nodeTest.test(
  'a long frame goes whole to a node that does not join parts',
  async test => {
    const [near, far] = (await connect(test)).map(socket => new End(socket));
    const frames = [answerFrame(1, 2 * MIB), pingFrame()];
    const bytes = frames.map(frame =>
      frameCodec.encodeFrame(serving.NodeFrame, frame),
    );
    let receivedBytes = 0;
    far.connection.on('data', chunk => (receivedBytes += chunk.length));
    near.send(...frames);
    await far.receives(2);
    assert.deepEqual(far.received, frames);
    assert.equal(receivedBytes, Buffer.concat(bytes).length);
  },
);

nodeTest.test(
  `frames of any size and pause arrive byte for byte, seed ${SEED}`,
  async test => {
    const [near, far] = await connectNodes(test);
    const size = fc.oneof(
      fc.nat({max: 100}),
      fc.nat({max: 8 * frameParts.PART_BYTES}),
    );
    const steps = fc.array(fc.tuple(size, fc.boolean()), {maxLength: 20});
    await fc.assert(
      fc.asyncProperty(steps, async script => {
        far.received.length = 0;
        const sent = script.map(([bytes], i) => answerFrame(i + 1, bytes));
        for (const [i, [, pauses]] of script.entries()) {
          near.send(sent[i]);
          if (pauses) await new Promise(setImmediate);
        }
        await far.receives(sent.length);
        const callOf = ({body}: serving.NodeFrame): number =>
          body?.$case === 'answer' ? body.value.call : 0;
        far.received.sort((a, b) => callOf(a) - callOf(b));
        assert.deepEqual(far.received, sent);
      }),
      {seed: SEED, numRuns: 60},
    );
  },
);

nodeTest.test('queued bytes include those of waiting parts', async test => {
  const [near, far] = await connectNodes(test);
  far.connection.pause();
  near.send(answerFrame(1, UNREAD_BYTES), answerFrame(2, UNREAD_BYTES));
  assert.ok(near.socket.queuedBytes >= 2 * UNREAD_BYTES);
  await pause(FILL_MS);
  assert.ok(near.socket.queuedBytes > UNREAD_BYTES);
  assert.ok(near.connection.writableLength < MIB);
});

nodeTest.test('frames that are queued at the end are sent', async test => {
  const [near, far] = await connectNodes(test);
  near.send(answerFrame(1, 4 * MIB), answerFrame(2, 2 * MIB), pulseFrame());
  near.socket.end();
  near.send(pingFrame());
  await far.until(() => far.closed);
  assert.deepEqual(far.kinds, ['pulse', 'answer', 'answer']);
});

nodeTest.test(
  'frames queued when the other end ends its side are sent',
  async test => {
    const [near, far] = await connectNodes(test);
    far.connection.pause();
    near.send(answerFrame(1, UNREAD_BYTES));
    far.socket.end();
    await pause(FILL_MS);
    far.connection.resume();
    await far.until(() => far.closed);
    assert.deepEqual(far.kinds, ['answer']);
  },
);

nodeTest.test('the end of a connection drops what is queued', async test => {
  for (const end of ['near', 'far'] as const) {
    const [near, far] = await connectNodes(test);
    far.connection.pause();
    near.send(answerFrame(1, UNREAD_BYTES));
    await pause(FILL_MS);
    const ended = {near, far}[end];
    ended.socket[Symbol.dispose]();
    await near.until(() => near.closed);
    assert.ok(near.socket.queuedBytes < MIB, end);
  }
});

nodeTest.test('a malformed part closes the connection', async test => {
  const [near, far] = await connectNodes(test);
  const value = serving.Part.fromPartial({message: 1, last: true});
  near.send({body: {$case: 'part', value}});
  await far.until(() => far.closed);
  assert.ok(far.malformed);
  assert.deepEqual(far.received, []);
});
