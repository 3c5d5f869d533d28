/**
 * Prints the cost of the control core by number of members, measured in virtual time.
 * Arguments: numbers of members; SEED in the environment sets the seed.
 */
import * as virtualFleet from '../fakes/virtual_fleet.js';
import * as changes from '../fakes/changes.js';

const SERVICE_SIZE = 29;
const SETTLE_MS = 100_000;
const STEADY_MS = 30_000;
const CHANGES = 10;
const CHANGE_SPACING_MS = 3_000;
const SEED = Number(process.env.SEED ?? 1);

const requestedCounts = process.argv.slice(2).map(Number);
const memberCounts =
  requestedCounts.length > 0 ? requestedCounts : [8, 40, 160, 640];

/** Formats a rate per member and second. */
function formatRate(total: number, members: number, ms: number): string {
  return (total / members / (ms / 1_000)).toFixed(1);
}

/** Time from the append of a change until every node has it; infinite after 60 s. */
function measurePropagationMs(
  fleet: virtualFleet.VirtualControlFleet,
  base: number,
): number {
  changes.publish(fleet, `change-${base}`, base);
  const nodes = [...fleet.nodes.values()];
  const tookMs = fleet.runUntil(
    () => nodes.every(n => n.core.configuration?.revision === base + 1),
    60_000,
  );
  return tookMs ?? Number.POSITIVE_INFINITY;
}

function measure(members: number): Readonly<Record<string, unknown>> {
  const fleet = new virtualFleet.VirtualControlFleet({
    seed: SEED,
    members: virtualFleet.fleetMembers(members, SERVICE_SIZE),
    loss: 0.01,
    delayMs: 10,
  });
  fleet.startAll(2_000);
  fleet.runFor(SETTLE_MS);
  const before = {...fleet.traffic, reads: fleet.log.reads};
  const cpu = process.cpuUsage();
  fleet.runFor(STEADY_MS);
  const used = process.cpuUsage(cpu);
  const {traffic, log} = fleet;
  const steady = {
    datagrams: traffic.datagrams - before.datagrams,
    bytes: traffic.bytes - before.bytes,
    pulls: traffic.pulls - before.pulls,
    pullBytes: traffic.pullBytes - before.pullBytes,
    reads: log.reads - before.reads,
  };
  const inForce = Array.from({length: CHANGES}, (unused, i) => {
    const elapsedMs = measurePropagationMs(fleet, i);
    fleet.runFor(CHANGE_SPACING_MS);
    return elapsedMs;
  }).sort((a, b) => a - b);
  const [node] = fleet.nodes.values();
  const now = {monotonicMs: fleet.nowMs, epochMs: fleet.epochMs()};
  const state = JSON.stringify(node.core.peerState(undefined, now));
  return {
    members,
    'datagrams/s/node': formatRate(steady.datagrams, members, STEADY_MS),
    'datagram B/s/node': formatRate(steady.bytes, members, STEADY_MS),
    'pulls/s/node': formatRate(steady.pulls, members, STEADY_MS),
    'pull B/s/node': formatRate(steady.pullBytes, members, STEADY_MS),
    'log reads/s': formatRate(steady.reads, 1, STEADY_MS),
    'cpu us/s/node': formatRate(used.user + used.system, members, STEADY_MS),
    'state B': state.length,
    'in force p50 ms': inForce[Math.floor(CHANGES / 2)],
    'in force max ms': inForce[CHANGES - 1],
    'log records': log.appendedRecords.length,
  };
}

console.log(`SEED=${SEED}`);
console.table(memberCounts.map(measure));
