/** Framing of connections between nodes. */
import type * as net from 'node:net';

import * as wire from '@bufbuild/protobuf/wire';

import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as frameCodec from '../frame_codec.js';
import * as frameParts from '../frame_parts.js';
import * as framedSocket from '../framed_socket.js';

/** Largest frame in bytes: the largest request body that callers may send, plus headers. */
const MAX_FRAME_BYTES = 80 * 1024 * 1024;

/** Tags of `NodeFrame.part` and `Part.content`. */
const PART_TAG = tagOf(15);
const CONTENT_TAG = tagOf(4);

/** Tags of bodies and of the messages in `NodeFrame` that have one. */
const DISPATCH_TAG = tagOf(2);
const DISPATCH_BODY_TAG = tagOf(8);
const ANSWER_TAG = tagOf(4);
const ANSWER_BODY_TAG = tagOf(4);

const NO_CONTENT = Buffer.alloc(0);

/** Parts on connections between nodes. */
export const PART_PROTOCOL: frameParts.PartProtocol<serving.NodeFrame> = {
  encodeHead: (part, writer) => {
    const {content} = part;
    const head = serving.Part.encode({...part, content: NO_CONTENT})
      .uint32(CONTENT_TAG)
      .uint32(content.length)
      .finish();
    return writer
      .uint32(PART_TAG)
      .uint32(head.length + content.length)
      .raw(head);
  },
  split: splitFrame,
  partOf: ({body}) => (body?.$case === 'part' ? body.value : undefined),
};

/**
 * Decodes frames. The encoding of integers bounds them, that of the other numbers does not: what is
 * counted with such a number could not be sent.
 */
const FRAME_CODEC: frameCodec.FrameCodec<serving.NodeFrame> = {
  encode: (frame, writer) => serving.NodeFrame.encode(frame, writer),
  decode: bytes => {
    const frame = serving.NodeFrame.decode(bytes);
    if (!rates(frame).every(isRate)) throw new RangeError('no rate');
    return frame;
  },
};

/** Returns a frame that states when it was sent. */
export function stamped(
  body: serving.NodeFrame['body'],
  now: units.MonotonicMs,
): serving.NodeFrame {
  return {body, sentMs: Math.floor(now)};
}

/** Wraps a connection between nodes in a socket that sends and receives `NodeFrame`s. */
export function wrapSocket(
  socket: net.Socket,
  peerName: string,
  listener: framedSocket.FramedSocketListener<serving.NodeFrame>,
): framedSocket.FramedSocket<serving.NodeFrame> {
  return new framedSocket.FramedSocket(
    socket,
    FRAME_CODEC,
    MAX_FRAME_BYTES,
    peerName,
    listener,
    PART_PROTOCOL,
  );
}

function splitFrame(
  frame: serving.NodeFrame,
): frameParts.SplitFrame | undefined {
  const {body} = frame;
  switch (body?.$case) {
    case 'dispatch': {
      const {value} = body;
      return splitBody(frame, value.body, DISPATCH_TAG, DISPATCH_BODY_TAG, () =>
        serving.Dispatch.encode({...value, body: NO_CONTENT}),
      );
    }
    case 'answer': {
      const {value} = body;
      return splitBody(frame, value.body, ANSWER_TAG, ANSWER_BODY_TAG, () =>
        serving.Answer.encode({...value, body: NO_CONTENT}),
      );
    }
    default:
      return undefined;
  }
}

/** Splits a frame before the body of its message, which becomes the last field of both. */
function splitBody(
  frame: serving.NodeFrame,
  content: Buffer,
  messageTag: number,
  bodyTag: number,
  encodeOthers: () => wire.BinaryWriter,
): frameParts.SplitFrame | undefined {
  if (content.length <= frameParts.PART_BYTES) return undefined;
  const head = encodeOthers().uint32(bodyTag).uint32(content.length).finish();
  const rest = serving.NodeFrame.encode({...frame, body: undefined}).finish();
  return {
    content,
    encodeHead: writer =>
      writer
        .raw(rest)
        .uint32(messageTag)
        .uint32(head.length + content.length)
        .raw(head),
  };
}

/** Returns the rates and bursts that a frame states. */
function rates({body}: serving.NodeFrame): readonly number[] {
  switch (body?.$case) {
    case 'greeting':
    case 'dispatch':
      return limitOf(body.value.notice);
    case 'answer':
    case 'refusal':
    case 'pulse':
      return limitOf(body.value.load?.notice);
    case 'tokenRequest':
      return body.value.demands.flatMap(d => [d.ratePerSecond, d.burst]);
    case 'withdraw':
    case 'ping':
    case 'stateWanted':
    case 'state':
    case 'suspect':
    case 'freshnessRequest':
    case 'freshnessProof':
    case 'tokenGrant':
    case 'part':
    case undefined:
      return [];
  }
}

function limitOf(notice: serving.ServerNotice | undefined): readonly number[] {
  const perSecond = notice?.limitPerSecond;
  return perSecond === undefined ? [] : [perSecond];
}

function isRate(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}

function tagOf(field: number): number {
  return (field << 3) | wire.WireType.LengthDelimited;
}
