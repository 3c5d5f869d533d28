/** Selects the requests whose routine decisions are logged; all nodes select the same ones. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 2 ** 32;

/** Whether a request is in the sample; `share` is the sampled share of all requests, 0 to 1. */
export function isSampled(requestId: string, share: number): boolean {
  let hash = FNV_OFFSET;
  for (let i = 0; i < requestId.length; i++) {
    hash = Math.imul(hash ^ requestId.charCodeAt(i), FNV_PRIME);
  }
  return (hash >>> 0) / UINT32_RANGE < share;
}
