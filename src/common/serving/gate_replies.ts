/** Tells entries how their calls ended, and logs what a gate decides. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as decision from './decision.js';
import * as finishedCalls from './finished_calls.js';
import * as gateCall from './gate_call.js';

/** Refusals after which the request goes elsewhere, or is wanted no more. */
const PASSED_ON: ReadonlySet<serving.Reason> = new Set([
  serving.Reason.STALLED,
  serving.Reason.FULL,
  serving.Reason.CLOSED,
  serving.Reason.WITHDRAWN,
]);

/** Sends replies and keeps them for entries that ask again. */
export class GateReplies {
  private readonly finished = new finishedCalls.FinishedCalls();

  constructor(
    private readonly output: gateCall.GateOutput,
    private readonly log: decision.DecisionLog,
  ) {}

  /** Replies to a call that ended before; false if it is not known. */
  repeat(arriving: gateCall.ArrivingCall): boolean {
    const reply = this.finished.replyTo(arriving.key);
    if (reply === undefined) return false;
    this.send(arriving.source, arriving.dispatch.call, reply);
    return true;
  }

  /** Refuses a call that was withdrawn, should it arrive later. */
  refuseLater(key: string, now: units.MonotonicMs): void {
    const reason = serving.Reason.WITHDRAWN;
    const refusal = serving.Refusal.fromPartial({reason});
    this.finished.add(key, {kind: 'refusal', refusal}, now);
  }

  /** Ends a call. */
  conclude(
    call: gateCall.GateCall,
    reply: finishedCalls.Reply,
    now: units.MonotonicMs,
  ): void {
    this.finished.add(call.key, reply, now);
    if (call.source !== undefined) {
      this.send(call.source, call.dispatch.call, reply);
    }
  }

  /** Logs a decision on a call. */
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

  /** Logs a refusal. */
  noteRefusal(
    call: gateCall.GateCall,
    reason: serving.Reason,
    facts: decision.Facts,
  ): void {
    const importance = PASSED_ON.has(reason) ? 'notable' : 'failure';
    this.note(call, importance, 'refused', {reason, ...facts});
  }

  /** Logs that the gate has opened or closed. */
  noteClosure(was: serving.Closure, closure: serving.Closure): void {
    decision.noteBelief(this.log, 'gate', 'gate-closure', {was, closure});
  }

  private send(
    source: number,
    callNumber: number,
    reply: finishedCalls.Reply,
  ): void {
    if (reply.kind === 'answer') this.output.answer(source, reply.answer);
    else this.output.refuse(source, {...reply.refusal, call: callNumber});
  }
}
