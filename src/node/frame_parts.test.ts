import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as wire from '@bufbuild/protobuf/wire';
import * as fc from 'fast-check';

import * as errors from '../common/errors.js';
import * as serving from '../generated/serving.js';
import * as frameCodec from './frame_codec.js';
import * as frameParts from './frame_parts.js';
import * as linkFrame from './serving/link_frame.js';

const SEED = Number(process.env['SEED'] ?? 7);
const MAX_OPEN_BYTES = 20 * frameParts.PART_BYTES;

function createJoiner(
  memory?: frameParts.MessageMemory,
): frameParts.PartJoiner<serving.NodeFrame> {
  return new frameParts.PartJoiner(
    serving.NodeFrame,
    linkFrame.PART_PROTOCOL,
    MAX_OPEN_BYTES,
    'other',
    memory,
  );
}

function answerFrame(call: number, bodyBytes: number): serving.NodeFrame {
  const body = Buffer.alloc(bodyBytes, call);
  const value = serving.Answer.fromPartial({call, status: 200, body});
  return {body: {$case: 'answer', value}, sentMs: call};
}

function encode(frame: serving.NodeFrame): Buffer {
  return Buffer.from(serving.NodeFrame.encode(frame).finish());
}

function partFrame(fields: Partial<frameParts.Part>): serving.NodeFrame {
  const value = serving.Part.fromPartial({message: 1, ...fields});
  return {body: {$case: 'part', value}};
}

/** Removes all parts from a queue. */
function drain(queue: frameParts.PartQueue): readonly frameParts.Part[] {
  const parts: frameParts.Part[] = [];
  for (let part = queue.next(); part !== undefined; part = queue.next()) {
    parts.push(part);
  }
  return parts;
}

nodeTest.test(
  `messages are joined from parts, at any sizes and in any order, seed ${SEED}`,
  () => {
    const steps = fc.array(
      fc.oneof(
        fc.nat({max: 6 * frameParts.PART_BYTES}),
        fc.constant('next' as const),
      ),
      {maxLength: 60},
    );
    fc.assert(
      fc.property(steps, script => {
        const queue = new frameParts.PartQueue(MAX_OPEN_BYTES);
        const joiner = createJoiner();
        const sent: serving.NodeFrame[] = [];
        const received: serving.NodeFrame[] = [];
        const receive = (part: frameParts.Part): void => {
          const frame = joiner.push(partFrame(part));
          if (frame !== undefined) received.push(frame);
        };
        for (const step of script) {
          if (step === 'next') {
            const part = queue.next();
            if (part !== undefined) receive(part);
          } else {
            const frame = answerFrame(sent.length + 1, step);
            sent.push(frame);
            queue.add([encode(frame)]);
          }
        }
        drain(queue).forEach(receive);
        assert.equal(queue.bytes, 0);
        const byCall = new Map(received.map(f => [callOf(f), f]));
        assert.equal(received.length, sent.length);
        for (const frame of sent) {
          assert.deepEqual(byCall.get(callOf(frame)), frame);
        }
      }),
      {seed: SEED, numRuns: 100},
    );
  },
);

function callOf({body}: serving.NodeFrame): number {
  assert.ok(body?.$case === 'answer');
  return body.value.call;
}

nodeTest.test('messages take turns', () => {
  const queue = new frameParts.PartQueue(MAX_OPEN_BYTES);
  queue.add([Buffer.alloc(3 * frameParts.PART_BYTES)]);
  queue.add([Buffer.alloc(2 * frameParts.PART_BYTES)]);
  const parts = drain(queue);
  assert.deepEqual(
    parts.map(({message}) => message),
    [1, 2, 1, 2, 1],
  );
  assert.deepEqual(
    parts.map(({last}) => last),
    [false, false, false, true, true],
  );
});

nodeTest.test('a cleared queue has no parts left', () => {
  const queue = new frameParts.PartQueue(MAX_OPEN_BYTES);
  queue.add([Buffer.alloc(3 * frameParts.PART_BYTES)]);
  queue.next();
  assert.equal(queue.bytes, 2 * frameParts.PART_BYTES);
  queue.clear();
  assert.equal(queue.bytes, 0);
  assert.equal(queue.next(), undefined);
});

nodeTest.test('a sender keeps to the limits of the receiver', () => {
  const queue = new frameParts.PartQueue(MAX_OPEN_BYTES);
  const joiner = createJoiner();
  const frames = Array.from({length: 50}, (unused, i) =>
    answerFrame(i + 1, (i % 9) * frameParts.PART_BYTES),
  );
  for (const frame of frames) queue.add([encode(frame)]);
  const joined = drain(queue).map(part => joiner.push(partFrame(part)));
  assert.equal(joined.filter(frame => frame !== undefined).length, 50);
});

const content = Buffer.alloc(10);

const MALFORMED: Readonly<Record<string, readonly serving.NodeFrame[]>> = {
  'a part without the first one': [partFrame({content})],
  'a message above the limit': [
    partFrame({content, totalBytes: MAX_OPEN_BYTES + 1}),
  ],
  'messages above the limit together': [
    partFrame({content, totalBytes: MAX_OPEN_BYTES}),
    partFrame({message: 2, content, totalBytes: 20}),
  ],
  'too many messages': Array.from(
    {length: frameParts.MAX_OPEN_MESSAGES + 1},
    (unused, message) => partFrame({message, content, totalBytes: 20}),
  ),
  'a message begun twice': [
    partFrame({content, totalBytes: 20}),
    partFrame({content, totalBytes: 20}),
  ],
  'more than the length of the message': [
    partFrame({content, totalBytes: 15}),
    partFrame({content, last: true}),
  ],
  'less than the length of the message': [
    partFrame({content, totalBytes: 25}),
    partFrame({content, last: true}),
  ],
  'a whole message without a last part': [partFrame({content, totalBytes: 10})],
  'a message that cannot be decoded': [
    partFrame({content: Buffer.alloc(10, 255), totalBytes: 10, last: true}),
  ],
  'a part within a message': [
    partFrame({
      content: encode(partFrame({content, totalBytes: 20})),
      totalBytes: encode(partFrame({content, totalBytes: 20})).length,
      last: true,
    }),
  ],
};

for (const [title, frames] of Object.entries(MALFORMED)) {
  nodeTest.test(`malformed: ${title}`, () => {
    const joiner = createJoiner();
    for (const frame of frames.slice(0, -1)) joiner.push(frame);
    assert.throws(
      () => joiner.push(frames[frames.length - 1]),
      errors.MalformedInputError,
    );
  });
}

nodeTest.test('the limits count open messages only', () => {
  const joiner = createJoiner();
  const whole = encode(answerFrame(1, MAX_OPEN_BYTES - 100));
  const [first, second] = [whole.subarray(0, 50), whole.subarray(50)];
  for (let message = 1; message < 40; message++) {
    const begin = {message, content: first, totalBytes: whole.length};
    assert.equal(joiner.push(partFrame(begin)), undefined);
    const end = {message, content: second, last: true};
    assert.ok(joiner.push(partFrame(end)));
  }
});

nodeTest.test(`a part is encoded as by the schema, seed ${SEED}`, () => {
  const parts = fc.record({
    message: fc.nat(),
    content: fc.uint8Array({minLength: 1}).map(bytes => Buffer.from(bytes)),
    last: fc.boolean(),
    totalBytes: fc.nat(),
  });
  fc.assert(
    fc.property(parts, part => {
      const head = frameCodec.encodePrefixed(
        writer => linkFrame.PART_PROTOCOL.encodeHead(part, writer),
        part.content.length,
      );
      assert.deepEqual(
        Buffer.concat([head, part.content]),
        frameCodec.encodeFrame(serving.NodeFrame, partFrame(part)),
      );
    }),
    {seed: SEED},
  );
});

nodeTest.test('pieces of a message are sent in order without copies', () => {
  const queue = new frameParts.PartQueue(10 * frameParts.PART_BYTES);
  const pieces = [
    Buffer.from('head'),
    Buffer.alloc(2 * frameParts.PART_BYTES + 1, 'x'),
  ];
  queue.add(pieces);
  const parts: frameParts.Part[] = [];
  for (let part = queue.next(); part !== undefined; part = queue.next()) {
    parts.push(part);
  }
  const whole = Buffer.concat(pieces);
  assert.deepEqual(
    parts.map(({last, totalBytes}) => [last, totalBytes]),
    [
      [false, whole.length],
      [false, 0],
      [false, 0],
      [true, 0],
    ],
  );
  assert.deepEqual(Buffer.concat(parts.map(({content}) => content)), whole);
  assert.equal(parts[1].content.buffer, pieces[1].buffer);
  assert.equal(queue.bytes, 0);
});

/** Memory with room for a number of bytes; records the requests that are turned away. */
class LimitedMemory implements frameParts.MessageMemory {
  readonly turnedAway: Array<number | undefined> = [];

  constructor(public leftBytes: number) {}

  take(bytes: number): boolean {
    if (bytes > this.leftBytes) return false;
    this.leftBytes -= bytes;
    return true;
  }

  giveBack(bytes: number): void {
    this.leftBytes += bytes;
  }

  onTurnedAway(begin: Buffer): void {
    this.turnedAway.push(linkFrame.dispatchOf(begin, 'other')?.call);
  }
}

/** Parts of a request, whose body comes last as on a link. */
function dispatchParts(
  queue: frameParts.PartQueue,
  call: number,
  bodyBytes: number,
): readonly frameParts.Part[] {
  const body = Buffer.alloc(bodyBytes, call);
  const requestId = `r${call}`;
  const value = serving.Dispatch.fromPartial({call, requestId, body});
  const frame = {body: {$case: 'dispatch', value}, sentMs: 7} as const;
  const split = linkFrame.PART_PROTOCOL.split?.(frame);
  assert.ok(split);
  const head = split.encodeHead(new wire.BinaryWriter()).finish();
  queue.add([Buffer.from(head), split.content]);
  return drain(queue);
}

nodeTest.test('messages without room are dropped, others are whole', () => {
  const room = 6 * frameParts.PART_BYTES;
  const memory = new LimitedMemory(room);
  const joiner = createJoiner(memory);
  const queue = new frameParts.PartQueue(MAX_OPEN_BYTES);
  const [first, second, third] = [1, 2, 3].map(call =>
    dispatchParts(queue, call, 4 * frameParts.PART_BYTES),
  );
  const received = [...first.slice(0, -1), ...second, ...first.slice(-1)]
    .concat(third)
    .flatMap(part => joiner.push(partFrame(part)) ?? []);
  assert.deepEqual(memory.turnedAway, [2]);
  assert.equal(memory.leftBytes, room);
  assert.deepEqual(
    received.map(({body}) => {
      assert.ok(body?.$case === 'dispatch');
      const {call, body: bytes, requestId} = body.value;
      return [call, bytes.equals(Buffer.alloc(bytes.length, call)), requestId];
    }),
    [
      [1, true, 'r1'],
      [3, true, 'r3'],
    ],
  );
});

nodeTest.test(
  'unfinished messages that are dropped give their memory back',
  () => {
    const memory = new LimitedMemory(MAX_OPEN_BYTES);
    const joiner = createJoiner(memory);
    const queue = new frameParts.PartQueue(MAX_OPEN_BYTES);
    const [begin, ...rest] = dispatchParts(queue, 1, 4 * frameParts.PART_BYTES);
    joiner.push(partFrame(begin));
    assert.ok(memory.leftBytes < MAX_OPEN_BYTES);
    joiner.drop();
    assert.equal(memory.leftBytes, MAX_OPEN_BYTES);
    // The link was only slow.
    assert.deepEqual(
      rest.flatMap(part => joiner.push(partFrame(part)) ?? []),
      [],
    );
    const next = dispatchParts(queue, 2, 4 * frameParts.PART_BYTES);
    const received = next.flatMap(part => joiner.push(partFrame(part)) ?? []);
    assert.equal(received.length, 1);
    assert.equal(memory.leftBytes, MAX_OPEN_BYTES);
  },
);

nodeTest.test('a request is found in the beginning of its frame', () => {
  const queue = new frameParts.PartQueue(MAX_OPEN_BYTES);
  const [{content}] = dispatchParts(queue, 300, 2 * frameParts.PART_BYTES);
  for (let bytes = 0; bytes <= content.length; bytes++) {
    const dispatch = linkFrame.dispatchOf(content.subarray(0, bytes), 'other');
    if (dispatch !== undefined) assert.ok([0, 300].includes(dispatch.call));
  }
  assert.equal(linkFrame.dispatchOf(content, 'other')?.call, 300);
  assert.equal(
    linkFrame.dispatchOf(encode(answerFrame(1, 10)), 'other'),
    undefined,
  );
});

// A message that is turned away is decoded outside of the other frames' error handling.
nodeTest.test(
  'a dropped message that cannot be decoded ends its link only',
  () => {
    const memory = new LimitedMemory(0);
    const junk = fc.uint8Array({minLength: 1, maxLength: 200});
    const heads = fc.oneof(
      junk,
      junk.map(bytes => Uint8Array.from([0x12, 0xff, 0x7f, ...bytes])),
    );
    fc.assert(
      fc.property(heads, bytes => {
        const joiner = createJoiner(memory);
        const content = Buffer.from(bytes);
        const totalBytes = 2 * frameParts.PART_BYTES;
        try {
          joiner.push(partFrame({content, totalBytes}));
        } catch (err) {
          assert.ok(err instanceof errors.MalformedInputError, String(err));
        }
      }),
      {seed: SEED, numRuns: 2_000},
    );
  },
);

nodeTest.test('a dropped request with a rate that is none is malformed', () => {
  const value = serving.Dispatch.fromPartial({
    call: 1,
    body: Buffer.alloc(2 * frameParts.PART_BYTES),
    notice: {instanceId: 'i-1', limitPerSecond: NaN},
  });
  const frame = {body: {$case: 'dispatch', value}} as const;
  const split = linkFrame.PART_PROTOCOL.split?.(frame);
  assert.ok(split);
  const head = split.encodeHead(new wire.BinaryWriter()).finish();
  const totalBytes = head.length + split.content.length;
  const begin = partFrame({content: Buffer.from(head), totalBytes});
  const joiner = createJoiner(new LimitedMemory(0));
  assert.throws(() => joiner.push(begin), errors.MalformedInputError);
});
