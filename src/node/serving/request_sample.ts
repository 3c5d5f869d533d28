/** Chooses the requests whose usual course is logged; all nodes choose the same ones. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 2 ** 32;

/** Whether a request belongs to the sample of the given share. */
export function isSampled(requestId: string, share: number): boolean {
  let hash = FNV_OFFSET;
  for (let i = 0; i < requestId.length; i++) {
    hash = Math.imul(hash ^ requestId.charCodeAt(i), FNV_PRIME);
  }
  return (hash >>> 0) / UINT32_RANGE < share;
}
