/** Traffic, processor time and spread of control against the number of members, in virtual time. */
import * as changes from '../../test/fakes/changes.js';
import * as virtualFleet from '../../test/fakes/virtual_fleet.js';
import * as lineFit from './line_fit.js';
import * as measurement from './measurement.js';

const MEMBER_COUNTS = [20, 80, 160, 320];
const SERVICE_SIZE = 29;
const SEED = 1;
const START_SPREAD_MS = 10_000;
const SETTLE_MS = 60_000;
const WATCH_MS = 30_000;
const PUBLISHED = 5;
const IN_FORCE_LIMIT_MS = 60_000;
const MS_PER_SECOND = 1_000;

/** Costs of one fleet. */
interface FleetCosts {
  readonly members: number;
  readonly datagramsPerSecond: number;
  readonly bytesPerSecond: number;
  /** Processor time of the core and its fake surroundings. */
  readonly coreUsPerSecond: number;
  readonly logReadsPerSecond: number;
  readonly joinAppends: number;
  readonly inForceP50Ms: number;
  readonly inForceMaxMs: number;
}

function revisionOf(node: virtualFleet.VirtualNode): number {
  return node.core.configuration?.revision ?? 0;
}

/** Publishes changes one after another; returns the time until each was in force everywhere. */
function publishAll(fleet: virtualFleet.VirtualFleet): readonly number[] {
  const times: number[] = [];
  for (let base = 0; base < PUBLISHED; base++) {
    changes.publish(fleet, `change-${base}`, base);
    const isInForce = () =>
      [...fleet.nodes.values()].every(node => revisionOf(node) > base);
    const took = fleet.runUntil(isInForce, IN_FORCE_LIMIT_MS);
    times.push(took ?? Infinity);
    fleet.runFor(MS_PER_SECOND);
  }
  return times.sort((a, b) => a - b);
}

function measureFleet(members: number): FleetCosts {
  const fleet = new virtualFleet.VirtualFleet({
    seed: SEED,
    members: virtualFleet.fleetMembers(members, SERVICE_SIZE),
  });
  fleet.startAll(START_SPREAD_MS);
  fleet.runFor(SETTLE_MS);
  const joinAppends = fleet.log.all.length;
  const before = {...fleet.traffic, reads: fleet.log.reads};
  const startUs = process.cpuUsage().user;
  fleet.runFor(WATCH_MS);
  const usedUs = process.cpuUsage().user - startUs;
  const seconds = WATCH_MS / MS_PER_SECOND;
  const perNode = (total: number) => total / members / seconds;
  const {datagrams, bytes} = fleet.traffic;
  const reads = fleet.log.reads - before.reads;
  const times = publishAll(fleet);
  return {
    members,
    datagramsPerSecond: perNode(datagrams - before.datagrams),
    bytesPerSecond: perNode(bytes - before.bytes),
    coreUsPerSecond: perNode(usedUs),
    logReadsPerSecond: reads / seconds,
    joinAppends,
    inForceP50Ms: times[times.length >> 1],
    inForceMaxMs: times[times.length - 1],
  };
}

/** Measures fleets of several sizes. */
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
