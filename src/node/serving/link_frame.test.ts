import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as wire from '@bufbuild/protobuf/wire';

import * as serving from '../../generated/serving.js';
import * as frameParts from '../frame_parts.js';
import * as linkFrame from './link_frame.js';

const {test} = nodeTest;

const LONG_BODY = Buffer.alloc(3 * frameParts.PART_BYTES, 'x');

/** Frames that carry a body. */
function makeFrames(body: Buffer): readonly serving.NodeFrame[] {
  const dispatch = {
    ...serving.Dispatch.fromPartial({}),
    call: 7,
    requestId: 'r',
    headers: ['Accept', 'text/plain'],
    body,
    fingerprint: 'f',
    startLeftMs: 5,
  };
  const answer = {
    ...serving.Answer.fromPartial({}),
    call: 7,
    status: 200,
    headers: ['Accept', 'text/plain'],
    body,
    load: serving.Load.fromPartial({running: 3}),
  };
  return [
    linkFrame.stamped({$case: 'dispatch', value: dispatch}, 12),
    {body: {$case: 'answer', value: answer}},
  ];
}

for (const frame of makeFrames(LONG_BODY)) {
  test(`a long body of a frame with ${frame.body?.$case} is sent without a copy`, () => {
    const split = linkFrame.PART_PROTOCOL.split?.(frame);
    assert.ok(split);
    assert.equal(split.content.buffer, LONG_BODY.buffer);
    const head = split.encodeHead(new wire.BinaryWriter()).finish();
    const decoded = serving.NodeFrame.decode(
      Buffer.concat([head, split.content]),
    );
    assert.deepEqual(
      decoded,
      serving.NodeFrame.decode(serving.NodeFrame.encode(frame).finish()),
    );
  });
}

test('frames with short bodies are not split', () => {
  for (const frame of makeFrames(Buffer.alloc(100))) {
    assert.equal(linkFrame.PART_PROTOCOL.split?.(frame), undefined);
  }
});
