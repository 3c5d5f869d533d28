/** Liveness of members: probes, indirect probes, suspicion and refutation, as in SWIM. */
import * as peer from '../../generated/peer.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as livenessTable from './liveness_table.js';
import * as probeSchedule from './probe_schedule.js';

/** Wait for the answer to a probe before others are asked to probe. */
export const ACK_TIMEOUT_MS: units.Millis = 200;

/** Wait for any answer, counted from the probe, before the member is suspected. */
export const SUSPECT_AFTER_MS: units.Millis = 500;

/** Members asked to probe on this node's behalf. */
const INDIRECT_PROBES = 3;

/** Time for which the place of an indirect probe's answer is kept. */
const RELAY_KEPT_MS: units.Millis = 2_000;

/** Most probes and relays remembered. */
const MAX_OUTSTANDING = 1_024;

/** A datagram's body on its way to a member. */
export interface Message {
  readonly to: peer.Member;
  readonly body: peer.Datagram['body'];
}

/** A probe that was answered: what the answer says is no older than `sentMs`. */
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
  readonly asker: peer.Member;
  readonly sequence: number;
  readonly sentMs: units.MonotonicMs;
}

/** Probes members and keeps what is known of their liveness. */
export class FailureDetector {
  private readonly outstanding = new Map<number, OutstandingProbe>();
  private readonly relays = new Map<number, Relay>();
  private sequence = 0;

  constructor(
    private readonly table: livenessTable.LivenessTable,
    private readonly schedule: probeSchedule.ProbeSchedule,
    private readonly random: randomSource.RandomSource,
  ) {}

  /** Sends due probes and follows up unanswered ones; nothing is suspected if `stale`. */
  step(nowMs: units.MonotonicMs, stale: boolean): readonly Message[] {
    const messages = this.followUp(nowMs, stale);
    for (const member of this.schedule.due(nowMs)) {
      messages.push(this.probe(member, nowMs));
    }
    if (!stale) this.table.expireSuspicions(nowMs, this.schedule.memberCount);
    return messages;
  }

  /** Probes a member out of turn. */
  probe(member: peer.Member, nowMs: units.MonotonicMs): Message {
    const sequence = this.nextSequence();
    this.outstanding.set(sequence, {member, sentMs: nowMs, indirect: false});
    return {to: member, body: {$case: 'probe', value: {sequence}}};
  }

  /** Forgets unanswered probes: after a pause of this node their silence says nothing. */
  forgetOutstanding(): void {
    this.outstanding.clear();
    this.relays.clear();
  }

  /** Answers a probe. */
  takeProbe(from: peer.Member, probe: peer.Probe): Message {
    return {to: from, body: {$case: 'ack', value: {sequence: probe.sequence}}};
  }

  /** Probes a member for another node. */
  takeIndirect(
    from: peer.Member,
    target: peer.Member,
    request: peer.IndirectProbe,
    nowMs: units.MonotonicMs,
  ): Message {
    const sequence = this.nextSequence();
    const relay = {asker: from, sequence: request.sequence, sentMs: nowMs};
    this.relays.set(sequence, relay);
    return {to: target, body: {$case: 'probe', value: {sequence}}};
  }

  /** Takes an answer: to a probe of this node, or one to pass on. */
  takeAck(
    fromNodeId: string,
    ack: peer.ProbeAck,
    nowMs: units.MonotonicMs,
  ): AnsweredProbe | Message | undefined {
    const relay = this.relays.get(ack.sequence);
    if (relay !== undefined) {
      this.relays.delete(ack.sequence);
      const value = {sequence: relay.sequence};
      return {to: relay.asker, body: {$case: 'ack', value}};
    }
    const probe = this.outstanding.get(ack.sequence);
    if (probe === undefined) return undefined;
    this.outstanding.delete(ack.sequence);
    this.table.noteAlive(probe.member, nowMs);
    if (probe.member.nodeId !== fromNodeId) return undefined;
    return {nodeId: fromNodeId, sentMs: probe.sentMs};
  }

  private followUp(nowMs: units.MonotonicMs, stale: boolean): Message[] {
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
      messages.push(...this.askOthers(sequence, probe.member));
    }
    for (const [sequence, relay] of this.relays) {
      if (nowMs - relay.sentMs < RELAY_KEPT_MS) break;
      this.relays.delete(sequence);
    }
    return messages;
  }

  private askOthers(sequence: number, target: peer.Member): Message[] {
    const value = {sequence, targetNodeId: target.nodeId};
    return this.schedule
      .pick(INDIRECT_PROBES, this.random, m => m.nodeId !== target.nodeId)
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
