/** How near a member is to this entry. */
import * as peer from '../../generated/peer.js';

/** Place of a node. */
export interface Place {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly region: string;
}

/** Nearness, from the nearest. */
export const LOCALITIES = ['data-centre', 'region', 'elsewhere'] as const;

/** Where a member is, seen from this entry. */
export type Locality = (typeof LOCALITIES)[number];

/** Returns how near a member is. */
export function localityOf(here: Place, m: peer.Member): Locality {
  if (m.region !== here.region) return 'elsewhere';
  return m.dataCentre === here.dataCentre ? 'data-centre' : 'region';
}

/** Groups members by nearness, nearest first, without empty groups. */
export function byLocality(
  here: Place,
  members: readonly peer.Member[],
): readonly (readonly peer.Member[])[] {
  return LOCALITIES.map(l =>
    members.filter(m => localityOf(here, m) === l),
  ).filter(group => group.length > 0);
}
