/** Builds the cores of a node, its decision logic, from its settings. */
import * as controlCore from '../common/control/control_core.js';
import * as counters from '../common/counters.js';
import * as entryCore from '../common/entry/entry_core.js';
import * as gateCore from '../common/gate/gate_core.js';
import * as invariants from '../common/invariants.js';
import * as randomSource from '../common/random_source.js';
import * as peer from '../generated/peer.js';
import * as generated from '../generated/settings.js';

/** The cores of a node. */
export interface Cores {
  readonly entry: entryCore.EntryCore;
  readonly gate: gateCore.GateCore;
  readonly control: controlCore.ControlCore;
}

/** Returns this node as a member of the fleet. */
export function ownMember(
  settings: generated.Settings,
  incarnation: number,
): peer.Member {
  const {nodeId, service, dataCentre, region, ip, ports, slots} = settings;
  return {
    nodeId,
    service,
    dataCentre,
    region,
    ip,
    httpPort: ports.http,
    peerPort: ports.peer,
    operatorPort: ports.operator,
    slots,
    incarnation,
  };
}

/** Returns a member for a peer of which only the operator port's address is known. */
function bootstrapMember(
  address: generated.Settings['bootstrapPeers'][number],
): peer.Member {
  const {ip, port} = address;
  const nodeId = `bootstrap-${ip}-${port}`;
  return peer.Member.fromPartial({nodeId, ip, operatorPort: port});
}

/** Builds the cores; entry and gate read the fleet's state from the control core. */
export function buildCores(
  settings: generated.Settings,
  self: peer.Member,
  count: counters.Counters,
  checks: invariants.Invariants,
): Cores {
  const {nodeId, service, dataCentre, region, slots} = settings;
  const {bounds, selector} = settings;
  const {incarnation} = self;
  const random = new randomSource.SeededRandom(seedOf(nodeId, incarnation));
  const shared = {counters: count, invariants: checks, random};
  const bootstrapPeers = settings.bootstrapPeers.map(bootstrapMember);
  const control = new controlCore.ControlCore({
    ...shared,
    self,
    bootstrapPeers,
  });
  const own = {nodeId, service, dataCentre, region, incarnation};
  const view = control;
  const gate = new gateCore.GateCore({
    ...shared,
    ...own,
    slots,
    bounds,
    view,
    noticesPerSecond:
      selector.kind === 'redirect' ? selector.noticesPerSecond : undefined,
  });
  const entry = new entryCore.EntryCore({
    ...shared,
    ...own,
    selector,
    maxCalls: bounds.calls,
    view,
  });
  return {entry, gate, control};
}

/** Derives a seed from id and incarnation, so that nodes started together choose differently. */
function seedOf(nodeId: string, incarnation: number): number {
  let seed = incarnation | 0;
  for (const char of nodeId) {
    seed = (Math.imul(seed, 31) + (char.codePointAt(0) ?? 0)) | 0;
  }
  return seed;
}
