/** Base64 for binary data in JSON. */
import * as wire from '@bufbuild/protobuf/wire';

/** Encodes bytes as base64. */
export function encode(bytes: Uint8Array): string {
  return wire.base64Encode(bytes);
}

/** Decodes base64; throws on malformed input. */
export function decode(text: string): Uint8Array {
  return wire.base64Decode(text);
}
