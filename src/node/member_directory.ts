/** Addresses of other nodes, and what links to them are told to tolerate. */
import * as fleetView from '../common/control/fleet_view.js';
import * as tuning from '../common/configuration/tuning.js';
import * as units from '../common/units.js';
import * as outgoingLink from './outgoing_link.js';

/** Returns where the gate of a node listens, undefined if it is unknown or gone. */
export function linkTarget(
  view: fleetView.FleetView,
  nodeId: string,
): outgoingLink.LinkTarget | undefined {
  const member = view.member(nodeId)?.member;
  return member && {nodeId, ip: member.ip, port: member.peerPort};
}

/** Returns the silence after which a link that carries calls of the service is checked. */
export function progressTimeoutMs(
  view: fleetView.FleetView,
  service: string,
): units.Millis {
  const cfg = view.configuration;
  return cfg
    ? cfg.tuningOf(service).progressTimeoutMs
    : tuning.DEFAULT_TUNING.progressTimeoutMs;
}
