/** Replies of a gate to entries, and the log of its decisions. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as callKey from './call_key.js';
import * as decision from './decision.js';
import * as replyCache from './reply_cache.js';
import * as gateCall from './gate_call.js';
import * as gateCapacity from './gate_capacity.js';
import * as gateOptions from './gate_options.js';
import * as sentReplies from './sent_replies.js';

/** Refusals logged as notable: the request is redirected or no longer needed. */
const NOTABLE_REASONS: ReadonlySet<serving.Reason> = new Set([
  serving.Reason.STALLED,
  serving.Reason.FULL,
  serving.Reason.RATE_LIMITED,
  serving.Reason.CLOSED,
  serving.Reason.WITHDRAWN,
]);

/** Cap on logged ages; older samples carry no information. */
const MAX_LOGGED_AGE_MS: units.Millis = 1_000_000;

/** Time for which a withdrawn call that has not arrived is refused if it does. */
const WITHDRAWAL_TTL_MS: units.Millis = 30_000;

/** Sends replies and caches them for entries that resend calls. */
export class GateReplies {
  private readonly cache: replyCache.ReplyCache;

  private readonly output: gateCall.GateOutput;
  private readonly log: decision.DecisionLog;

  constructor(
    options: Pick<gateOptions.GateOptions, 'output' | 'log' | 'replyBytes'>,
    private readonly sent: sentReplies.SentReplies,
  ) {
    this.output = options.output;
    this.log = options.log;
    this.cache = new replyCache.ReplyCache({maxBytes: options.replyBytes});
  }

  /** Replies to a call that has ended before; false if it has not. */
  resend(arriving: gateCall.ArrivingCall): boolean {
    const reply = this.cache.get(arriving.key);
    if (reply === undefined) return false;
    this.sent.onRepeated(arriving.key, arriving.linkId);
    this.send(arriving.linkId, arriving.dispatch.call, reply);
    return true;
  }

  /** Caches a refusal for a withdrawn call that may still arrive. */
  cacheWithdrawal(key: string, now: units.MonotonicMs): void {
    this.sent.delete(key);
    // The entry no longer needs the reply to a call that has ended.
    if (this.cache.get(key) !== undefined) {
      return this.cache.discardAnswer(key);
    }
    const reason = serving.Reason.WITHDRAWN;
    const refusal = serving.Refusal.fromPartial({reason});
    this.cache.add(
      key,
      {kind: 'refusal', refusal},
      now + WITHDRAWAL_TTL_MS,
      now,
    );
  }

  /** Forgets answers to former processes of a node that has started again. */
  discardAnswers(nodeId: string, startedMs: units.EpochMs): void {
    const isUnneeded = (key: string): boolean => {
      const {entryProcess} = callKey.parse(key);
      return callKey.isSucceeded(entryProcess, nodeId, startedMs);
    };
    this.cache.discardAnswers(isUnneeded);
    this.sent.deleteAll(isUnneeded);
  }

  /** Caches the reply, unless its delivery is certain, and sends it if the link is up. */
  finish(
    call: gateCall.GateCall,
    reply: replyCache.Reply,
    now: units.MonotonicMs,
  ): void {
    const {key, linkId, deadlineMs} = call;
    if (call.isRemote) {
      this.cache.add(key, reply, deadlineMs, now);
      if (!call.withdrawn) this.sent.onReply(key, linkId, deadlineMs, now);
    }
    if (linkId !== undefined) this.send(linkId, call.dispatch.call, reply);
  }

  /** Logs a decision on a call, with its route. */
  note(
    call: gateCall.GateCall,
    importance: decision.Importance,
    event: string,
    facts: decision.Facts,
  ): void {
    const {requestId, route} = call.dispatch;
    this.log.write({
      component: 'gate',
      event,
      importance,
      requestId,
      facts: {route, ...facts},
    });
  }

  /** Logs the start of a run and what it depended on. */
  noteRun(
    call: gateCall.GateCall,
    capacity: gateCapacity.GateCapacity,
    now: units.MonotonicMs,
    facts: decision.Facts,
  ): void {
    const {pace, running} = capacity;
    this.note(call, 'routine', 'run', {
      reason: pace.isStalled(now) ? 'stalled' : undefined,
      waitedMs: Math.round(now - call.arrivedMs),
      running,
      limit: capacity.limit(now),
      pacePercent: pace.percentAt(now),
      paceAgeMs: Math.round(Math.min(pace.ageMs(now), MAX_LOGGED_AGE_MS)),
      ...facts,
    });
  }

  /** Logs a refusal and the load that it depended on; its importance depends on the reason. */
  noteRefusal(
    call: gateCall.GateCall,
    {reason, mayHaveRun, serverDied = false}: gateCall.RefusalDetail,
    load: serving.Load,
    now: units.MonotonicMs,
  ): void {
    const importance = NOTABLE_REASONS.has(reason) ? 'notable' : 'failure';
    const {closure, running, waiting, limit, notice} = load;
    const limitPerSecond = notice?.limitPerSecond;
    this.note(call, importance, 'refused', {
      reason,
      mayHaveRun,
      serverDied,
      timeLeftMs: Math.round(call.deadlineMs - now),
      closure,
      running,
      waiting,
      limit,
      limitPerSecond,
    });
  }

  /** Logs that the closure of the gate changed. */
  noteClosure(was: serving.Closure, closure: serving.Closure): void {
    decision.noteStateChange(this.log, 'gate', 'gate-closure', {was, closure});
  }

  /** Logs the end of a stall of the backend server by its neighbours, if there was one. */
  noteStall(durationMs: units.Millis | undefined): void {
    if (durationMs === undefined) return;
    this.log.write({
      component: 'gate',
      event: 'stall-ended',
      importance: 'routine',
      facts: {durationMs: Math.round(durationMs)},
    });
  }

  private send(
    linkId: number,
    callNumber: number,
    reply: replyCache.Reply,
  ): void {
    if (reply.kind === 'answer') this.output.answer(linkId, reply.answer);
    else this.output.refuse(linkId, {...reply.refusal, call: callNumber});
  }
}
