/** Checks each node of a virtual fleet against a reference fold of the complete log. */
import * as assert from 'node:assert/strict';

import * as controlContract from '../../src/common/control/control_contract.js';
import * as logState from '../../src/common/control/log_state.js';
import * as counters from '../../src/common/counters.js';
import * as invariants from '../../src/common/invariants.js';
import * as virtualFleet from './virtual_fleet.js';

/** Comparable form of a folded state. */
interface StateDigest {
  readonly configuration: string;
  readonly members: string;
}

/** Compares nodes after each event that they handle; throws an AssertionError on a difference. */
export class FleetChecks {
  /** Folded states compared so far. */
  comparisons = 0;
  private readonly referenceState: logState.LogState;
  private readonly expectedDigests: StateDigest[];
  private readonly comparedOffsets = new WeakMap<
    virtualFleet.VirtualControlNode,
    number
  >();
  private readonly lastRevisions = new WeakMap<
    virtualFleet.VirtualControlNode,
    number
  >();
  private readonly storedAtMs: number[] = [];

  constructor(private readonly fleet: virtualFleet.VirtualControlFleet) {
    const count = new counters.MemoryCounters();
    const check = new invariants.Invariants(count);
    this.referenceState = new logState.LogState(check, count);
    this.expectedDigests = [this.referenceDigest()];
    fleet.log.onStored = stored => {
      const nextOffset = stored.offset + 1;
      this.storedAtMs[stored.offset] = fleet.nowMs;
      const page = {records: [stored], firstOffset: 0, nextOffset};
      this.referenceState.foldPage(page);
      this.expectedDigests[nextOffset] = this.referenceDigest();
    };
    fleet.onEventHandled = node => this.checkNode(node);
  }

  get revision(): number {
    return this.referenceState.configuration.revision;
  }

  /**
   * Waits up to `forMs` until every node has the newest revision and record, is not stale and has
   * joined; throws an AssertionError that lists the nodes which lack any of these.
   */
  checkRecovers(forMs: number): void {
    this.fleet.runUntil(() => this.recoveryFaults().length === 0, forMs);
    assert.deepEqual(this.recoveryFaults(), []);
  }

  private recoveryFaults(): readonly string[] {
    const {revision} = this.referenceState.configuration;
    const {nextOffset} = this.referenceState;
    return [...this.fleet.nodes.values()].flatMap(({core, member}) => {
      const {nodeId} = member;
      const faults = [
        (core.configuration?.revision ?? 0) === revision ? '' : 'revision',
        core.rosterOffset === nextOffset ? '' : 'offset',
        core.stale ? 'stale' : '',
        core.member(nodeId)?.roster === 'joined' ? '' : 'not joined',
      ];
      return faults.filter(f => f !== '').map(f => `${nodeId}: ${f}`);
    });
  }

  private checkNode(node: virtualFleet.VirtualControlNode): void {
    this.checkState(node);
    this.checkConfirmation(node);
  }

  /** Checks that a node has every record stored before its newest confirmation of the roster. */
  private checkConfirmation({
    core,
    member,
  }: virtualFleet.VirtualControlNode): void {
    const confirmedMs =
      this.fleet.nowMs - core.rosterConfirmedAgeMs(this.fleet.nowMs);
    const firstMissingStoredMs =
      this.storedAtMs[core.rosterOffset] ?? Number.POSITIVE_INFINITY;
    assert.ok(
      firstMissingStoredMs >= confirmedMs,
      `${member.nodeId}: roster confirmed without a record stored before`,
    );
  }

  private checkState(node: virtualFleet.VirtualControlNode): void {
    const revision = node.core.configuration?.revision ?? 0;
    const before = this.lastRevisions.get(node) ?? 0;
    assert.ok(revision >= before, `${node.member.nodeId}: revision decreased`);
    this.lastRevisions.set(node, revision);
    const offset = node.core.rosterOffset;
    if (this.comparedOffsets.get(node) === offset) return;
    const now = {monotonicMs: this.fleet.nowMs, epochMs: 0};
    const state = node.core.peerState(undefined, now);
    if (!state.complete) return;
    this.comparedOffsets.set(node, offset);
    this.comparisons++;
    const configuration = JSON.stringify(node.core.configuration?.document);
    const digest = {
      configuration: `${revision} ${configuration}`,
      members: membersDigest(state.roster),
    };
    assert.deepEqual(
      digest,
      this.expectedDigests[offset],
      `${node.member.nodeId} at offset ${offset}`,
    );
  }

  private referenceDigest(): StateDigest {
    const {configuration, roster} = this.referenceState;
    const document = JSON.stringify(configuration.configuration?.document);
    return {
      configuration: `${configuration.revision} ${document}`,
      members: membersDigest(roster.state()),
    };
  }
}

function membersDigest(
  entries: readonly controlContract.RosterEntryState[],
): string {
  return entries
    .filter(e => e.roster !== 'gone')
    .map(
      e =>
        `${e.member.nodeId}.${e.member.incarnation} ${e.roster}@${e.offset}/${e.selfTimeMs}`,
    )
    .sort()
    .join(' ');
}
