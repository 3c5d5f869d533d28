/** Base64 for bytes that travel inside JSON. */
import * as wire from '@bufbuild/protobuf/wire';

/** Encodes bytes as base64. */
export function encode(bytes: Uint8Array): string {
  return wire.base64Encode(bytes);
}

/** Decodes base64; throws on malformed text. */
export function decode(text: string): Uint8Array {
  return wire.base64Decode(text);
}
