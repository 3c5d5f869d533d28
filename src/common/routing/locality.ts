/** Distance classes of members as seen from this entry. */
import * as peer from '../../generated/peer.js';

/** Where a node runs. */
export interface NodeLocation {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly region: string;
}

/** Distance classes, nearest first. */
export const LOCALITIES = ['data-centre', 'region', 'elsewhere'] as const;

/** Distance class of a member as seen from this entry. */
export type Locality = (typeof LOCALITIES)[number];

/** Returns the distance class of a member as seen from `here`. */
export function localityOf(here: NodeLocation, m: peer.Member): Locality {
  if (m.region !== here.region) return 'elsewhere';
  return m.dataCentre === here.dataCentre ? 'data-centre' : 'region';
}

/** Groups members by distance class, nearest first, without empty groups. */
export function byLocality(
  here: NodeLocation,
  members: readonly peer.Member[],
): readonly (readonly peer.Member[])[] {
  return LOCALITIES.map(l =>
    members.filter(m => localityOf(here, m) === l),
  ).filter(group => group.length > 0);
}
