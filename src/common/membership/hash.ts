/** Fast non-cryptographic string hash. */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hashes a string to an unsigned 32-bit integer. */
export type HashFunction = (text: string) => number;

/** Returns the FNV-1a hash over UTF-16 code units, with the MurmurHash3 finalizer. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return mix(hash);
}

/** Combines two hashes; each bit of the result depends on all bits of both. */
export function combine(left: number, right: number): number {
  return mix(mix(left) + Math.imul(right, FNV_PRIME));
}

function mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
