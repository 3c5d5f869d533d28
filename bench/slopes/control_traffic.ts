/**
 * Traffic, processor time and propagation times of the control cores by the number of members, in
 * virtual time.
 */
import * as changes from '../../test/fakes/changes.js';
import * as virtualFleet from '../../test/fakes/virtual_fleet.js';
import * as lineFit from './line_fit.js';
import * as measurement from './measurement.js';

const MEMBER_COUNTS = [20, 80, 160, 320];
const MEMBERS_PER_SERVICE = 29;
const SEED = 1;
const START_SPREAD_MS = 10_000;
const SETTLE_MS = 60_000;
const MEASURED_MS = 30_000;
const PUBLISHED_CHANGES = 5;
const IN_FORCE_LIMIT_MS = 60_000;
const MS_PER_SECOND = 1_000;

/** Costs of a fleet; datagrams, bytes and processor time are per node. */
interface FleetCosts {
  readonly members: number;
  readonly datagramsPerSecond: number;
  readonly bytesPerSecond: number;
  /** User processor time of the control cores and of the simulation around them. */
  readonly coreUsPerSecond: number;
  readonly logReadsPerSecond: number;
  readonly joinAppends: number;
  readonly inForceP50Ms: number;
  readonly inForceMaxMs: number;
}

function revisionOf(node: virtualFleet.VirtualControlNode): number {
  return node.core.configuration?.revision ?? 0;
}

/** Publishes changes in sequence; returns the sorted times until each was in force everywhere. */
function publishChanges(
  fleet: virtualFleet.VirtualControlFleet,
): readonly number[] {
  const timesMs: number[] = [];
  for (let base = 0; base < PUBLISHED_CHANGES; base++) {
    changes.publish(fleet, `change-${base}`, base);
    const isInForce = () =>
      [...fleet.nodes.values()].every(node => revisionOf(node) > base);
    const elapsedMs = fleet.runUntil(isInForce, IN_FORCE_LIMIT_MS);
    timesMs.push(elapsedMs ?? Infinity);
    fleet.runFor(MS_PER_SECOND);
  }
  return timesMs.sort((a, b) => a - b);
}

function measureFleet(members: number): FleetCosts {
  const fleet = new virtualFleet.VirtualControlFleet({
    seed: SEED,
    members: virtualFleet.fleetMembers(members, MEMBERS_PER_SERVICE),
  });
  fleet.startAll(START_SPREAD_MS);
  fleet.runFor(SETTLE_MS);
  const joinAppends = fleet.log.appendedRecords.length;
  const before = {...fleet.traffic, reads: fleet.log.reads};
  const startUs = process.cpuUsage().user;
  fleet.runFor(MEASURED_MS);
  const usedUs = process.cpuUsage().user - startUs;
  const seconds = MEASURED_MS / MS_PER_SECOND;
  const perNode = (total: number) => total / members / seconds;
  const {datagrams, bytes} = fleet.traffic;
  const reads = fleet.log.reads - before.reads;
  const inForceTimesMs = publishChanges(fleet);
  return {
    members,
    datagramsPerSecond: perNode(datagrams - before.datagrams),
    bytesPerSecond: perNode(bytes - before.bytes),
    coreUsPerSecond: perNode(usedUs),
    logReadsPerSecond: reads / seconds,
    joinAppends,
    inForceP50Ms: inForceTimesMs[inForceTimesMs.length >> 1],
    inForceMaxMs: inForceTimesMs[inForceTimesMs.length - 1],
  };
}

/** Measures the costs of control in fleets of several sizes. */
export function measureControlTraffic(): readonly measurement.Measurement[] {
  const fleets = MEMBER_COUNTS.map(measureFleet);
  const points = (
    value: (costs: FleetCosts) => number,
  ): readonly lineFit.Point[] =>
    fleets.map(costs => ({x: costs.members, y: value(costs)}));
  const size = 'members';
  return [
    {
      role: 'control',
      size,
      cost: 'datagrams sent a second and node',
      points: points(f => f.datagramsPerSecond),
    },
    {
      role: 'control',
      size,
      cost: 'bytes sent a second and node',
      points: points(f => f.bytesPerSecond),
    },
    {
      role: 'control',
      size,
      cost: 'us of processor a second and node',
      points: points(f => f.coreUsPerSecond),
    },
    {
      role: 'log reader',
      size,
      cost: 'reads a second of the fleet',
      points: points(f => f.logReadsPerSecond),
    },
    {
      role: 'roster',
      size,
      cost: 'records appended by a fleet start',
      points: points(f => f.joinAppends),
    },
    {
      role: 'configuration',
      size,
      cost: 'ms to in force everywhere, p50',
      points: points(f => f.inForceP50Ms),
    },
    {
      role: 'configuration',
      size,
      cost: 'ms to in force everywhere, max',
      points: points(f => f.inForceMaxMs),
    },
  ];
}
