/** SWIM failure detector: probes, indirect probes, suspicion and refutation. */
import * as peer from '../../generated/peer.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as livenessTable from './liveness_table.js';
import * as probeSchedule from './probe_schedule.js';

/** Time without an ack after which a probe is repeated indirectly through other members. */
export const ACK_TIMEOUT_MS: units.Millis = 200;

/** Time without any ack, counted from the direct probe, after which a member is suspected. */
export const SUSPECT_AFTER_MS: units.Millis = 500;

/** Number of members asked for an indirect probe. */
const INDIRECT_PROBE_COUNT = 3;

/** Time for which an ack of an indirect probe is relayed to the node that asked for it. */
const RELAY_TIMEOUT_MS: units.Millis = 2_000;

/** Maximum number of outstanding probes, and of relays; the oldest is dropped first. */
const MAX_OUTSTANDING = 1_024;

/** A datagram body to send to a member. */
export interface Message {
  readonly to: peer.Member;
  readonly body: peer.Datagram['body'];
}

/** A probe that was answered; the content of the ack is no older than `sentMs`. */
export interface AnsweredProbe {
  readonly nodeId: string;
  readonly sentMs: units.MonotonicMs;
}

interface OutstandingProbe {
  readonly member: peer.Member;
  readonly sentMs: units.MonotonicMs;
  readonly indirect: boolean;
}

interface Relay {
  readonly requester: peer.Member;
  readonly sequence: number;
  readonly sentMs: units.MonotonicMs;
}

/** Probes members and updates their states in the liveness table. */
export class FailureDetector {
  private readonly outstanding = new Map<number, OutstandingProbe>();
  private readonly relays = new Map<number, Relay>();
  private sequence = 0;

  constructor(
    private readonly table: livenessTable.LivenessTable,
    private readonly schedule: probeSchedule.ProbeSchedule,
    private readonly random: randomSource.RandomSource,
  ) {}

  /** Returns due probes and indirect ones; a `stale` node suspects and declares nobody dead. */
  step(nowMs: units.MonotonicMs, stale: boolean): readonly Message[] {
    const messages = this.checkOutstanding(nowMs, stale);
    for (const member of this.schedule.due(nowMs)) {
      messages.push(this.probe(member, nowMs));
    }
    if (!stale) this.table.expireSuspicions(nowMs, this.schedule.memberCount);
    return messages;
  }

  /** Returns a probe of a member outside the schedule. */
  probe(member: peer.Member, nowMs: units.MonotonicMs): Message {
    const sequence = this.nextSequence();
    this.outstanding.set(sequence, {member, sentMs: nowMs, indirect: false});
    return {to: member, body: {$case: 'probe', value: {sequence}}};
  }

  /** Drops outstanding probes: after a pause of this node a missing ack proves nothing. */
  clearOutstanding(): void {
    this.outstanding.clear();
    this.relays.clear();
  }

  /** Returns the ack of a probe. */
  handleProbe(from: peer.Member, probe: peer.Probe): Message {
    return {to: from, body: {$case: 'ack', value: {sequence: probe.sequence}}};
  }

  /** Returns a probe of `target` on behalf of another node. */
  handleIndirectProbe(
    from: peer.Member,
    target: peer.Member,
    request: peer.IndirectProbe,
    nowMs: units.MonotonicMs,
  ): Message {
    const sequence = this.nextSequence();
    const relay = {requester: from, sequence: request.sequence, sentMs: nowMs};
    this.relays.set(sequence, relay);
    return {to: target, body: {$case: 'probe', value: {sequence}}};
  }

  /** Handles an ack of a probe of this node, or relays one that another node asked for. */
  handleAck(
    fromNodeId: string,
    ack: peer.ProbeAck,
    nowMs: units.MonotonicMs,
  ): AnsweredProbe | Message | undefined {
    const relay = this.relays.get(ack.sequence);
    if (relay !== undefined) {
      this.relays.delete(ack.sequence);
      const value = {sequence: relay.sequence};
      return {to: relay.requester, body: {$case: 'ack', value}};
    }
    const probe = this.outstanding.get(ack.sequence);
    if (probe === undefined) return undefined;
    this.outstanding.delete(ack.sequence);
    this.table.noteAlive(probe.member, nowMs);
    if (probe.member.nodeId !== fromNodeId) return undefined;
    return {nodeId: fromNodeId, sentMs: probe.sentMs};
  }

  private checkOutstanding(
    nowMs: units.MonotonicMs,
    stale: boolean,
  ): Message[] {
    const messages: Message[] = [];
    for (const [sequence, probe] of this.outstanding) {
      const waitedMs = nowMs - probe.sentMs;
      if (waitedMs < ACK_TIMEOUT_MS) break;
      if (waitedMs >= SUSPECT_AFTER_MS) {
        this.outstanding.delete(sequence);
        if (!stale) this.table.suspect(probe.member, nowMs);
        continue;
      }
      if (probe.indirect) continue;
      this.outstanding.set(sequence, {...probe, indirect: true});
      messages.push(...this.requestIndirectProbes(sequence, probe.member));
    }
    for (const [sequence, relay] of this.relays) {
      if (nowMs - relay.sentMs < RELAY_TIMEOUT_MS) break;
      this.relays.delete(sequence);
    }
    return messages;
  }

  private requestIndirectProbes(
    sequence: number,
    target: peer.Member,
  ): Message[] {
    const value = {sequence, targetNodeId: target.nodeId};
    return this.schedule
      .pick(INDIRECT_PROBE_COUNT, this.random, m => m.nodeId !== target.nodeId)
      .map(to => ({to, body: {$case: 'indirect', value}}));
  }

  private nextSequence(): number {
    this.sequence++;
    dropOldest(this.outstanding);
    dropOldest(this.relays);
    return this.sequence;
  }
}

function dropOldest(map: Map<number, unknown>): void {
  if (map.size < MAX_OUTSTANDING) return;
  const [oldest] = map.keys();
  map.delete(oldest);
}
