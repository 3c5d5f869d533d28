/** Room that a load report tells of. */
import * as peer from '../../generated/peer.js';

/** Returns the requests that a gate can take at once; negative if more wait than fit. */
export function roomOf(load: peer.LoadReport): number {
  return load.limit - load.inFlight - load.queued;
}
