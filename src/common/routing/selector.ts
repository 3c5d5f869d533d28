/** Choice of the gate that an attempt goes to. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as randomSource from '../random_source.js';
import * as outstanding from './outstanding.js';

/** Chooses among the members that may take work, passing over `excluded` while another can. */
export function leastOutstanding(
  view: fleetView.FleetView,
  service: string,
  excluded: ReadonlySet<string>,
  own: outstanding.Outstanding,
  random: randomSource.RandomSource,
): peer.Member | undefined {
  const members = view
    .membersOf(service)
    .filter(m => fleetView.mayTakeWork(view, m))
    .map(m => m.member);
  const fresh = members.filter(m => !excluded.has(m.nodeId));
  const candidates = randomSource.shuffle(
    fresh.length > 0 ? fresh : members,
    random,
  );
  let best: peer.Member | undefined;
  for (const m of candidates) {
    if (best === undefined || own.at(m.nodeId) < own.at(best.nodeId)) best = m;
  }
  return best;
}
