/** Headers that carry the bounds of a call chain from one entry to the next. */
import * as peer from '../../generated/peer.js';

/** Retries that all further calls made for this request may still cause together. */
export const RETRIES_LEFT_HEADER = 'geraniumloft-retries-left';

/** Returns `headers` with the number of retries left set. */
export function withRetriesLeft(
  headers: readonly peer.Header[],
  retriesLeft: number,
): readonly peer.Header[] {
  const others = headers.filter(
    h => h.name.toLowerCase() !== RETRIES_LEFT_HEADER,
  );
  return [...others, {name: RETRIES_LEFT_HEADER, value: `${retriesLeft}`}];
}
