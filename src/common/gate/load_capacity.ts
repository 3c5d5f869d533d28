/** Computes the free capacity of a gate from its load report. */
import * as peer from '../../generated/peer.js';

/** Returns how many more requests a gate can start now; negative if queued requests exceed it. */
export function freeCapacityOf(load: peer.LoadReport): number {
  return load.limit - load.inFlight - load.queued;
}
