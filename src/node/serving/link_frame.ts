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

/** Length of these tags, and the part of a tag that tells the wire type. */
const TAG_BYTES = 1;
const WIRE_TYPE_MASK = 7;

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
  decodeSplit,
  partOf: ({body}) => (body?.$case === 'part' ? body.value : undefined),
};

/**
 * Decodes frames. The encoding of integers bounds them, that of the other numbers does not: what is
 * counted with such a number could not be sent.
 */
const FRAME_CODEC: frameCodec.FrameCodec<serving.NodeFrame> = {
  encode: (frame, writer) => serving.NodeFrame.encode(frame, writer),
  decode: bytes => checked(serving.NodeFrame.decode(bytes)),
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
  memory?: frameParts.MessageMemory,
): framedSocket.FramedSocket<serving.NodeFrame> {
  return new framedSocket.FramedSocket(
    socket,
    FRAME_CODEC,
    MAX_FRAME_BYTES,
    peerName,
    listener,
    PART_PROTOCOL,
    memory,
  );
}

/**
 * Returns the request whose encoded frame begins with the given bytes, without its body; undefined
 * for another message. Fields that the bytes do not contain have their defaults.
 *
 * @param peerName - names the other end in errors.
 * @throws errors.MalformedInputError on bytes that cannot be decoded.
 */
export function dispatchOf(
  begin: Buffer,
  peerName: string,
): serving.Dispatch | undefined {
  return frameCodec.decodeFrame({decode: decodeDispatch}, begin, peerName);
}

function decodeDispatch(begin: Uint8Array): serving.Dispatch | undefined {
  const encoded = encodedMessageOf(begin);
  if (encoded?.tag !== DISPATCH_TAG) return undefined;
  const value = serving.Dispatch.decode(encoded.head);
  checked({body: {$case: 'dispatch', value}});
  return value;
}

/** An encoded frame in pieces; the body is undefined if it does not come last. */
interface EncodedMessage {
  /** Fields of the frame before the message. */
  readonly rest: Buffer;
  readonly tag: number;
  /** Fields of the message before its body. */
  readonly head: Buffer;
  readonly body: Buffer | undefined;
}

/** Finds the request or answer in the beginning of an encoded frame. */
function encodedMessageOf(encoded: Uint8Array): EncodedMessage | undefined {
  const bytes = Buffer.from(
    encoded.buffer,
    encoded.byteOffset,
    encoded.byteLength,
  );
  const reader = new wire.BinaryReader(bytes);
  const tag = skipTo(reader, [DISPATCH_TAG, ANSWER_TAG]);
  if (tag === undefined) return undefined;
  const rest = bytes.subarray(0, reader.pos - TAG_BYTES);
  const length = readLength(reader);
  if (length === undefined) return undefined;
  const start = reader.pos;
  const isWhole = start + length === bytes.length;
  const bodyTag = tag === DISPATCH_TAG ? DISPATCH_BODY_TAG : ANSWER_BODY_TAG;
  if (skipTo(reader, [bodyTag]) === undefined) {
    return {
      rest,
      tag,
      head: bytes.subarray(start, reader.pos),
      body: undefined,
    };
  }
  const head = bytes.subarray(start, reader.pos - TAG_BYTES);
  const bodyBytes = readLength(reader) ?? 0;
  const isLast = isWhole && reader.pos + bodyBytes === bytes.length;
  return {
    rest,
    tag,
    head,
    body: isLast ? bytes.subarray(reader.pos) : undefined,
  };
}

/** Skips whole fields up to one of the tags, which it reads; undefined if there is none. */
function skipTo(
  reader: wire.BinaryReader,
  tags: readonly number[],
): number | undefined {
  let end = reader.pos;
  try {
    while (reader.pos < reader.len) {
      const tag = reader.uint32();
      if (tags.includes(tag)) return tag;
      reader.skip(tag & WIRE_TYPE_MASK);
      end = reader.pos;
    }
  } catch (err) {
    // The bytes may end within a field.
    if (!(err instanceof RangeError)) throw err;
  }
  reader.pos = end;
  return undefined;
}

/** Reads a length; undefined if the bytes end within it. */
function readLength(reader: wire.BinaryReader): number | undefined {
  try {
    return reader.uint32();
  } catch (err) {
    if (err instanceof RangeError) return undefined;
    throw err;
  }
}

function decodeSplit(bytes: Buffer): serving.NodeFrame | undefined {
  const encoded = encodedMessageOf(bytes);
  if (encoded?.body === undefined) return undefined;
  const {rest, tag, head, body} = encoded;
  const frame = serving.NodeFrame.decode(rest);
  if (frame.body !== undefined) return undefined;
  const message: serving.NodeFrame['body'] =
    tag === DISPATCH_TAG
      ? {$case: 'dispatch', value: {...serving.Dispatch.decode(head), body}}
      : {$case: 'answer', value: {...serving.Answer.decode(head), body}};
  return checked({...frame, body: message});
}

function checked(frame: serving.NodeFrame): serving.NodeFrame {
  if (!rates(frame).every(isRate)) throw new RangeError('no rate');
  return frame;
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
