/** Looks up the gate addresses of other nodes and the progress timeouts of links. */
import * as fleetView from '../common/control/fleet_view.js';
import * as tuning from '../common/configuration/tuning.js';
import * as units from '../common/units.js';
import * as outgoingLink from './outgoing_link.js';

/** Returns the address of a node's gate, undefined if the node is unknown or gone. */
export function linkTarget(
  view: fleetView.FleetView,
  nodeId: string,
): outgoingLink.LinkTarget | undefined {
  const member = view.member(nodeId)?.member;
  return member && {nodeId, ip: member.ip, port: member.peerPort};
}

/** Returns the time without frames after which a link with calls of the service is checked. */
export function progressTimeoutMs(
  view: fleetView.FleetView,
  service: string,
): units.Millis {
  const cfg = view.configuration;
  return cfg
    ? cfg.tuningOf(service).progressTimeoutMs
    : tuning.DEFAULT_TUNING.progressTimeoutMs;
}
