import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as errors from '../common/errors.js';
import * as peer from '../generated/peer.js';
import * as frameCodec from './frame_codec.js';

const SEED = Number(process.env['SEED'] ?? 7);
const MAX_FRAME_BYTES = 4_096;

function createReader(): frameCodec.FrameReader<peer.Frame> {
  return new frameCodec.FrameReader(peer.Frame, MAX_FRAME_BYTES, 'other');
}

function requestFrame(callId: string, body: Uint8Array): peer.Frame {
  const value: peer.CallRequest = {
    ...peer.CallRequest.fromPartial({callId, body: Buffer.from(body)}),
    headers: [{name: 'accept', value: 'text/plain'}],
  };
  return {body: {$case: 'request', value}};
}

nodeTest.test(
  `frames are read from any split into chunks, seed ${SEED}`,
  () => {
    const frames = fc.array(
      fc.tuple(fc.string(), fc.uint8Array({maxLength: 300})),
      {maxLength: 5},
    );
    const cuts = fc.array(fc.integer({min: 1, max: 400}), {minLength: 1});
    fc.assert(
      fc.property(frames, cuts, (contents, sizes) => {
        const sent = contents.map(([id, body]) => requestFrame(id, body));
        const bytes = Buffer.concat(
          sent.map(f => frameCodec.encodeFrame(peer.Frame, f)),
        );
        const read = createReader();
        const received: peer.Frame[] = [];
        for (let start = 0, i = 0; start < bytes.length; i++) {
          const size = sizes[i % sizes.length];
          received.push(...read.push(bytes.subarray(start, start + size)));
          start += size;
        }
        assert.deepEqual(received, sent);
      }),
      {seed: SEED, numRuns: 300},
    );
  },
);

nodeTest.test(
  `arbitrary bytes cause no other error than malformed input, seed ${SEED}`,
  () => {
    const chunks = fc.array(fc.uint8Array({maxLength: 200}), {maxLength: 20});
    let malformed = 0;
    fc.assert(
      fc.property(chunks, parts => {
        const read = createReader();
        try {
          for (const part of parts) read.push(Buffer.from(part));
        } catch (err) {
          assert.ok(err instanceof errors.MalformedInputError);
          malformed++;
        }
      }),
      {seed: SEED, numRuns: 2_000},
    );
    assert.ok(malformed > 0);
  },
);

nodeTest.test(
  `a corrupted frame is decoded or rejected as malformed, seed ${SEED}`,
  () => {
    const bytes = frameCodec.encodeFrame(
      peer.Frame,
      requestFrame('c1', Buffer.alloc(64, 7)),
    );
    let malformed = 0;
    fc.assert(
      fc.property(
        fc.integer({min: 4, max: bytes.length - 1}),
        fc.integer({min: 0, max: 255}),
        (position, value) => {
          const changed = Buffer.from(bytes);
          changed[position] = value;
          try {
            assert.ok(createReader().push(changed).length <= 1);
          } catch (err) {
            assert.ok(err instanceof errors.MalformedInputError);
            malformed++;
          }
        },
      ),
      {seed: SEED, numRuns: 2_000},
    );
    assert.ok(malformed > 0);
  },
);

nodeTest.test(
  'a frame above the size limit is rejected before it arrives',
  () => {
    const prefix = Buffer.alloc(4);
    prefix.writeUInt32BE(MAX_FRAME_BYTES + 1, 0);
    assert.throws(
      () => createReader().push(prefix),
      errors.MalformedInputError,
    );
  },
);
