/** Randomised runs of a virtual fleet: faults in random order, then recovery. */
import * as fc from 'fast-check';

import * as peer from '../../src/generated/peer.js';
import * as changes from './changes.js';
import * as fleetChecks from './fleet_checks.js';
import * as virtualFleet from './virtual_fleet.js';

/** Longest fault; exceeds the time after which a dead member is declared gone. */
const MAX_FAULT_MS = 20_000;

/** Time after the last fault within which every node must have recovered. */
const RECOVERY_MS = 60_000;

/** Kind of a fault; `race` publishes two changes on the same base revision. */
export type Fault =
  | 'pause'
  | 'kill'
  | 'restart'
  | 'stop'
  | 'log-down'
  | 'cut-from-log'
  | 'cut-from-peers'
  | 'isolate'
  | 'publish'
  | 'race'
  | 'repeat-change'
  | 'stale-snapshot'
  | 'garbage'
  | 'retain'
  | 'nothing';

/** A fault and the time until the next one. */
export interface Step {
  readonly fault: Fault;
  /** Index of the affected node, modulo the number of running nodes. */
  readonly node: number;
  readonly faultMs: number;
  readonly thenMs: number;
}

const STEP_ARBITRARY: fc.Arbitrary<Step> = fc.record({
  fault: fc.constantFrom<Fault>(
    'pause',
    'pause',
    'kill',
    'restart',
    'stop',
    'log-down',
    'cut-from-log',
    'cut-from-peers',
    'isolate',
    'publish',
    'race',
    'repeat-change',
    'stale-snapshot',
    'garbage',
    'retain',
    'nothing',
  ),
  node: fc.nat(1_000),
  faultMs: fc.integer({min: 100, max: MAX_FAULT_MS}),
  thenMs: fc.integer({min: 0, max: 3_000}),
});

/** Parameters of a randomised run. */
export interface Run {
  readonly seed: number;
  /** Number of members. */
  readonly count: number;
  /** Members of each service. */
  readonly serviceSize: number;
  /** Share of datagrams lost. */
  readonly loss: number;
  readonly steps: readonly Step[];
}

/** Draws runs of 5 to 8 members, 1 in 13 with 9 to 25. */
export const RUN_ARBITRARY: fc.Arbitrary<Run> = fc.record({
  seed: fc.nat(0x7fff_ffff),
  count: fc.oneof(
    {weight: 12, arbitrary: fc.integer({min: 5, max: 8})},
    {weight: 1, arbitrary: fc.integer({min: 9, max: 25})},
  ),
  serviceSize: fc.integer({min: 2, max: 6}),
  loss: fc.constantFrom(0, 0.05, 0.2),
  steps: fc.array(STEP_ARBITRARY, {minLength: 4, maxLength: 14}),
});

/** Carries out one run: injects its faults into a fleet of its own. */
export class FleetRun {
  readonly fleet: virtualFleet.VirtualControlFleet;
  readonly checks: fleetChecks.FleetChecks;
  private publishedCount = 0;
  private previousSnapshot: peer.LogRecord | undefined;
  private readonly isolatedNodeIds = new Set<string>();

  constructor(private readonly run: Run) {
    this.fleet = new virtualFleet.VirtualControlFleet({
      seed: run.seed,
      members: virtualFleet.fleetMembers(run.count, run.serviceSize),
      loss: run.loss,
      duplication: 0.05,
      delayMs: 30,
      lostAppendAnswers: 0.1,
      clockSkewMs: 200,
    });
    this.fleet.isPartitioned = (from, to) =>
      this.isolatedNodeIds.has(from) !== this.isolatedNodeIds.has(to);
    this.checks = new fleetChecks.FleetChecks(this.fleet);
    this.fleet.startAll(500);
    this.fleet.runFor(3_000);
  }

  /** Injects the faults of the run, then recovers and checks every node. */
  runAll(): void {
    for (const step of this.run.steps) this.executeStep(step);
    this.recover();
    this.checks.checkRecovers(RECOVERY_MS);
  }

  private executeStep(step: Step): void {
    const ids = [...this.fleet.nodes.keys()];
    const nodeId = ids[step.node % ids.length];
    this.inject(step.fault, nodeId, step.faultMs);
    this.fleet.runFor(step.thenMs);
  }

  /** Waits until all faults have ended and starts the members that are down. */
  private recover(): void {
    this.fleet.runFor(MAX_FAULT_MS);
    for (const member of this.fleet.options.members) {
      const node = this.fleet.nodes.get(member.nodeId);
      if (node === undefined) this.startIfDown(member.nodeId);
    }
  }

  private inject(fault: Fault, nodeId: string, faultMs: number): void {
    const {fleet} = this;
    switch (fault) {
      case 'pause':
        fleet.pause(nodeId, faultMs);
        return;
      case 'kill':
        if (fleet.nodes.size > 3) this.kill(nodeId, faultMs);
        return;
      case 'restart':
        this.kill(nodeId, 50);
        return;
      case 'stop':
        if (fleet.nodes.size <= 3) return;
        fleet.stop(nodeId);
        fleet.after(6_000, () => this.kill(nodeId, 50));
        return;
      case 'log-down':
        fleet.log.reachable = false;
        fleet.after(faultMs, () => (fleet.log.reachable = true));
        return;
      case 'cut-from-log':
        this.disconnectFromLog(nodeId, faultMs);
        return;
      case 'cut-from-peers':
        this.disconnectFromPeers(nodeId, faultMs);
        return;
      case 'isolate':
        this.disconnectFromLog(nodeId, faultMs);
        this.disconnectFromPeers(nodeId, faultMs);
        return;
      case 'publish':
        this.publish(this.checks.revision);
        return;
      case 'race':
        this.publish(this.checks.revision);
        this.publish(this.checks.revision - 1);
        return;
      case 'repeat-change':
        changes.publish(
          fleet,
          `change-${this.publishedCount}`,
          this.checks.revision,
        );
        return;
      case 'stale-snapshot':
        this.appendStaleSnapshot(nodeId);
        return;
      case 'garbage':
        fleet.append({
          recordId: 'garbage',
          timeMs: 0,
          body: {
            $case: 'roster',
            value: peer.RosterRecord.create({
              event: peer.RosterEvent.LEAVING,
              member: fleet.nodes.get(nodeId)?.member,
              authorNodeId: 'stranger',
            }),
          },
        });
        return;
      case 'retain':
        fleet.log.retainNewest(20);
        return;
      case 'nothing':
        return;
    }
  }

  private disconnectFromLog(nodeId: string, forMs: number): void {
    this.fleet.withoutLog.add(nodeId);
    this.fleet.after(forMs, () => this.fleet.withoutLog.delete(nodeId));
  }

  private disconnectFromPeers(nodeId: string, forMs: number): void {
    this.isolatedNodeIds.add(nodeId);
    this.fleet.after(forMs, () => this.isolatedNodeIds.delete(nodeId));
  }

  private publish(baseRevision: number): void {
    this.publishedCount++;
    const base = Math.max(0, baseRevision);
    changes.publish(this.fleet, `change-${this.publishedCount}`, base);
  }

  /** Appends the snapshot taken at the previous call, then takes one from `nodeId`. */
  private appendStaleSnapshot(nodeId: string): void {
    if (this.previousSnapshot) this.fleet.append(this.previousSnapshot);
    const node = this.fleet.nodes.get(nodeId);
    const now = {monotonicMs: this.fleet.nowMs, epochMs: 0};
    const state = node?.core.peerState(undefined, now);
    if (!state?.complete || state.snapshotBase64 === undefined) return;
    const bytes = Buffer.from(state.snapshotBase64, 'base64');
    const value = peer.ConfigurationSnapshot.decode(bytes);
    this.previousSnapshot = {
      recordId: 'stale',
      timeMs: this.fleet.epochMs(),
      body: {$case: 'snapshot', value},
    };
  }

  private kill(nodeId: string, forMs: number): void {
    const node = this.fleet.nodes.get(nodeId);
    if (node === undefined) return;
    this.fleet.kill(nodeId);
    this.fleet.after(forMs, () => this.startIfDown(nodeId));
  }

  private startIfDown(nodeId: string): void {
    if (this.fleet.nodes.has(nodeId)) return;
    const member = this.fleet.options.members.find(m => m.nodeId === nodeId);
    if (member === undefined) return;
    this.fleet.start({...member, incarnation: 1 + this.fleet.nowMs});
  }
}
