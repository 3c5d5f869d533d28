/** Headers that pass the limits of a call chain from one entry to the next. */
import * as peer from '../../generated/peer.js';

/** Total number of retries left for all further calls made on behalf of this request. */
export const RETRIES_LEFT_HEADER = 'geraniumloft-retries-left';

/** Returns a copy of `headers` with the retries left set to `retriesLeft`. */
export function withRetriesLeft(
  headers: readonly peer.Header[],
  retriesLeft: number,
): readonly peer.Header[] {
  const others = headers.filter(
    h => h.name.toLowerCase() !== RETRIES_LEFT_HEADER,
  );
  return [...others, {name: RETRIES_LEFT_HEADER, value: `${retriesLeft}`}];
}
