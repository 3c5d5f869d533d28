/** Checks over a whole virtual fleet against one fold of the complete log. */
import * as assert from 'node:assert/strict';

import * as control from '../../src/common/control/control_contract.js';
import * as logState from '../../src/common/control/log_state.js';
import * as counters from '../../src/common/counters.js';
import * as invariants from '../../src/common/invariants.js';
import * as virtualFleet from './virtual_fleet.js';

/** Clock skew that gates allow for between the minting of a key and the log's times. */
const SKEW_BOUND_MS = 1_000;

const KEY_LIFETIME_MS = 15_000;
const KEY_INTERVAL_MS = 1_000;

/** Time between two tries of a node's keys, besides the one when it wakes. */
const TRY_INTERVAL_MS = 200;

interface Key {
  readonly service: string;
  readonly key: string;
  readonly mintedMs: number;
}

/** Everything a fold decides, for comparison. */
interface Digest {
  readonly configuration: string;
  readonly holders: string;
}

export class FleetChecks {
  runs = 0;
  comparisons = 0;
  private readonly reference: logState.LogState;
  private readonly digests: Digest[];
  private readonly compared = new WeakMap<virtualFleet.VirtualNode, number>();
  private readonly revisions = new WeakMap<virtualFleet.VirtualNode, number>();
  private readonly tried = new WeakMap<virtualFleet.VirtualNode, number>();
  private readonly runners = new Map<string, string>();
  private keys: Key[] = [];
  private readonly storedMs: number[] = [];
  private minted = 0;

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
    fleet.onResume = node => this.tryKeys(node);
    this.mint();
  }

  get revision(): number {
    return this.reference.configuration.revision;
  }

  /** Waits until every node has all and may serve its keys, for as long as `forMs`. */
  checkRecovers(forMs: number): void {
    this.fleet.runUntil(() => this.shortcomings().length === 0, forMs);
    assert.deepEqual(this.shortcomings(), []);
  }

  private shortcomings(): readonly string[] {
    const {revision} = this.reference.configuration;
    const {nextOffset} = this.reference;
    return [...this.fleet.nodes.values()].flatMap(({core, member}) => {
      const {nodeId, service} = member;
      const home = core.homeOf(service, 'key');
      const faults = [
        (core.configuration?.revision ?? 0) === revision ? '' : 'revision',
        core.rosterOffset === nextOffset ? '' : 'offset',
        core.stale ? 'stale' : '',
        core.member(nodeId)?.roster === 'joined' ? '' : 'not joined',
        core.keyLeaseValid(this.fleet.nowMs) ? '' : 'no lease',
        home !== undefined && this.fleet.nodes.has(home) ? '' : 'no home',
      ];
      return faults.filter(f => f !== '').map(f => `${nodeId}: ${f}`);
    });
  }

  private look(node: virtualFleet.VirtualNode): void {
    this.compareFold(node);
    this.checkConfirmation(node);
    const triedMs = this.tried.get(node) ?? Number.NEGATIVE_INFINITY;
    const dueMs = triedMs + TRY_INTERVAL_MS;
    if (this.fleet.nowMs < dueMs && !node.wakingUp) return;
    this.tried.set(node, this.fleet.nowMs);
    this.tryKeys(node);
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
      holders: holdersDigest(state.roster),
    };
    assert.deepEqual(
      digest,
      this.digests[offset],
      `${node.member.nodeId} at offset ${offset}`,
    );
  }

  /** Runs keys wherever the view of a node allows it: each at one start of one node only. */
  private tryKeys(node: virtualFleet.VirtualNode): void {
    const {core, member} = node;
    const {nowMs} = this.fleet;
    if (!core.keyLeaseValid(nowMs)) return;
    const runner = `${member.nodeId}.${member.incarnation}`;
    for (const key of this.keys) {
      if (key.service !== member.service) continue;
      const home = core.keyHome(key.service, key.key);
      if (home?.nodeId !== member.nodeId || nowMs < home.takeoverAtMs) continue;
      if (key.mintedMs < home.sinceMs + SKEW_BOUND_MS) continue;
      const first = this.runners.get(key.key) ?? runner;
      this.runners.set(key.key, first);
      this.runs++;
      assert.equal(runner, first, `key ${key.key} at ${nowMs} ms`);
    }
  }

  private mint(): void {
    const mintedMs = this.fleet.epochMs();
    const oldestMs = mintedMs - KEY_LIFETIME_MS;
    this.keys = this.keys.filter(k => k.mintedMs >= oldestMs);
    const services = new Set(this.fleet.options.members.map(m => m.service));
    for (const service of services) {
      this.keys.push({service, key: `key-${this.minted++}`, mintedMs});
    }
    this.fleet.after(KEY_INTERVAL_MS, () => this.mint());
  }

  private referenceDigest(): Digest {
    const {configuration, roster} = this.reference;
    const document = JSON.stringify(configuration.configuration?.document);
    return {
      configuration: `${configuration.revision} ${document}`,
      holders: holdersDigest(roster.state().entries),
    };
  }
}

function holdersDigest(entries: readonly control.RosterEntryState[]): string {
  return entries
    .filter(e => e.holderSinceOffset !== undefined)
    .map(
      e =>
        `${e.member.nodeId}.${e.member.incarnation}@${e.holderSinceOffset}/${e.holderSinceMs}`,
    )
    .sort()
    .join(' ');
}
