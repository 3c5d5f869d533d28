/** Checks over a whole virtual fleet against one fold of the complete log. */
import * as assert from 'node:assert/strict';

import * as control from '../../src/common/control/control_contract.js';
import * as logState from '../../src/common/control/log_state.js';
import * as counters from '../../src/common/counters.js';
import * as invariants from '../../src/common/invariants.js';
import * as virtualFleet from './virtual_fleet.js';

/** Everything a fold decides, for comparison. */
interface Digest {
  readonly configuration: string;
  readonly members: string;
}

export class FleetChecks {
  comparisons = 0;
  private readonly reference: logState.LogState;
  private readonly digests: Digest[];
  private readonly compared = new WeakMap<virtualFleet.VirtualNode, number>();
  private readonly revisions = new WeakMap<virtualFleet.VirtualNode, number>();
  private readonly storedMs: number[] = [];

  constructor(private readonly fleet: virtualFleet.VirtualFleet) {
    const count = new counters.MemoryCounters();
    const check = new invariants.Invariants(count);
    this.reference = new logState.LogState(check, count);
    this.digests = [this.referenceDigest()];
    fleet.log.onStored = stored => {
      const nextOffset = stored.offset + 1;
      this.storedMs[stored.offset] = fleet.nowMs;
      const page = {records: [stored], firstOffset: 0, nextOffset};
      this.reference.foldPage(page);
      this.digests[nextOffset] = this.referenceDigest();
    };
    fleet.onLook = node => this.look(node);
  }

  get revision(): number {
    return this.reference.configuration.revision;
  }

  /** Waits until every node has all and is confirmed, for as long as `forMs`. */
  checkRecovers(forMs: number): void {
    this.fleet.runUntil(() => this.shortcomings().length === 0, forMs);
    assert.deepEqual(this.shortcomings(), []);
  }

  private shortcomings(): readonly string[] {
    const {revision} = this.reference.configuration;
    const {nextOffset} = this.reference;
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

  private look(node: virtualFleet.VirtualNode): void {
    this.compareFold(node);
    this.checkConfirmation(node);
  }

  /** A node misses no record that was stored before its newest confirmation. */
  private checkConfirmation({core, member}: virtualFleet.VirtualNode): void {
    const confirmedMs =
      this.fleet.nowMs - core.rosterConfirmedAgeMs(this.fleet.nowMs);
    const missedMs =
      this.storedMs[core.rosterOffset] ?? Number.POSITIVE_INFINITY;
    assert.ok(missedMs >= confirmedMs, `${member.nodeId}: confirmed too late`);
  }

  private compareFold(node: virtualFleet.VirtualNode): void {
    const revision = node.core.configuration?.revision ?? 0;
    const before = this.revisions.get(node) ?? 0;
    assert.ok(revision >= before, `${node.member.nodeId}: revision fell`);
    this.revisions.set(node, revision);
    const offset = node.core.rosterOffset;
    if (this.compared.get(node) === offset) return;
    const now = {monotonicMs: this.fleet.nowMs, epochMs: 0};
    const state = node.core.peerState(undefined, now);
    if (!state.complete) return;
    this.compared.set(node, offset);
    this.comparisons++;
    const configuration = JSON.stringify(node.core.configuration?.document);
    const digest = {
      configuration: `${revision} ${configuration}`,
      members: membersDigest(state.roster),
    };
    assert.deepEqual(
      digest,
      this.digests[offset],
      `${node.member.nodeId} at offset ${offset}`,
    );
  }

  private referenceDigest(): Digest {
    const {configuration, roster} = this.reference;
    const document = JSON.stringify(configuration.configuration?.document);
    return {
      configuration: `${configuration.revision} ${document}`,
      members: membersDigest(roster.state()),
    };
  }
}

function membersDigest(entries: readonly control.RosterEntryState[]): string {
  return entries
    .filter(e => e.roster !== 'gone')
    .map(
      e =>
        `${e.member.nodeId}.${e.member.incarnation} ${e.roster}@${e.offset}/${e.selfTimeMs}`,
    )
    .sort()
    .join(' ');
}
