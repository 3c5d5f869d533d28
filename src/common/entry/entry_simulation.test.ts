/** Simulates an entry and fake gates in virtual time and asserts the entry's invariants. */
import * as assert from 'node:assert/strict';

import * as configuration from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as randomSource from '../random_source.js';
import * as entryContract from './entry_contract.js';
import * as fixtures from './entry_fixtures.test.js';

/** Probability of each fault, in [0, 1]. */
export interface Faults {
  readonly full: number;
  readonly refusing: number;
  readonly silent: number;
  readonly restarting: number;
  readonly duplicate: number;
  readonly foreign: number;
  readonly errorStatus: number;
}

/** Parameters of one simulation. */
export interface Scenario {
  readonly seed: number;
  readonly gateCount: number;
  readonly requestCount: number;
  readonly faults: Faults;
}

const SERVICE_TIME_MS = 20;
const NETWORK_DELAY_MS = 2;
const SILENCE_TIMEOUT_MS = 50;
const DEADLINE_MS = 400;
const ARRIVAL_INTERVAL_MS = 15;
const DRAIN_MS = 5_000;

const GATE_REFUSAL_REASONS: readonly peer.RefusalReason[] = [
  peer.RefusalReason.COLD_START,
  peer.RefusalReason.LEAVING,
  peer.RefusalReason.SERVER_SHED,
  peer.RefusalReason.SERVER_ABSENT,
  peer.RefusalReason.QUARANTINED,
];

/** Reasons of a gate that accepts no new work and keeps no record of the calls it refuses. */
const UNRECORDED_REASONS: ReadonlySet<peer.RefusalReason> = new Set([
  peer.RefusalReason.LEAVING,
  peer.RefusalReason.SERVER_ABSENT,
]);

const CLASSES: readonly configuration.RequestClass[] = [
  fixtures.requestClass({name: 'price', hedgeAfterMs: 30}),
  fixtures.requestClass({name: 'lookup', kind: 'must-arrive'}),
  fixtures.requestClass({name: 'order', idempotent: false}),
  fixtures.requestClass({
    name: 'issue',
    kind: 'must-arrive',
    idempotent: false,
  }),
];

interface RequestEnd {
  readonly kind: 'respond' | 'refuse' | 'gone';
  readonly outcome?: peer.Outcome;
}

interface SentRequest {
  readonly request: entryContract.CallerRequest;
  readonly deadlineAtMs: number;
}

/** A gate that runs each call id at most once, as real gates must. */
interface FakeGate {
  readonly nodeId: string;
  readonly incarnation: number;
  /** Calls of this incarnation by call id, with the final message once there is one. */
  readonly calls: Map<string, entryContract.EntryEvent | 'running'>;
}

/** Schedules callbacks in virtual time. */
class Timeline {
  private readonly queue: {readonly atMs: number; readonly run: () => void}[] =
    [];
  nowMs = 0;

  schedule(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + delayMs;
    let i = this.queue.length;
    while (i > 0 && this.queue[i - 1].atMs > atMs) i--;
    this.queue.splice(i, 0, {atMs, run});
  }

  nextMs(): number | undefined {
    return this.queue.at(0)?.atMs;
  }

  /** Moves the clock to `atMs` and runs the first callback due by then. */
  step(atMs: number): void {
    this.nowMs = atMs;
    const first = this.queue.at(0);
    if (first !== undefined && first.atMs <= atMs) this.queue.shift()?.run();
  }
}

/** The entry under test, its fleet, gates and callers. */
export class EntrySimulation {
  private readonly timeline = new Timeline();
  private readonly random: randomSource.RandomSource;
  private readonly gates = new Map<string, FakeGate>();
  private readonly fleet: fixtures.FakeFleet;
  private readonly sent = new Map<string, SentRequest>();
  private readonly ends = new Map<string, RequestEnd>();
  private readonly runs = new Map<string, number>();
  private readonly openAttempts = new Set<string>();
  readonly entry: fixtures.Entry;

  constructor(private readonly scenario: Scenario) {
    this.random = new randomSource.SeededRandom(scenario.seed);
    const nodes = Array.from(
      {length: scenario.gateCount},
      (unused, i) => `g${i}`,
    );
    this.fleet = new fixtures.FakeFleet(nodes);
    for (const nodeId of nodes) this.startGate(nodeId, 7);
    const random = new randomSource.SeededRandom(scenario.seed + 1);
    this.entry = new fixtures.Entry(this.fleet, {random, maxCalls: 1_000});
  }

  /** Runs all requests to their end, delivers late messages, and checks the results. */
  run(): void {
    for (let i = 0; i < this.scenario.requestCount; i++) {
      this.timeline.schedule(i * ARRIVAL_INTERVAL_MS, () =>
        this.sendRequest(`r${i}`),
      );
    }
    this.timeline.schedule(0, () => this.maybeRestartGate());
    const endMs = this.scenario.requestCount * ARRIVAL_INTERVAL_MS + DRAIN_MS;
    for (;;) {
      const nextMs = Math.min(
        this.timeline.nextMs() ?? Infinity,
        this.entry.core.nextWakeMs() ?? Infinity,
      );
      if (nextMs > endMs) break;
      const tickDue = (this.entry.core.nextWakeMs() ?? Infinity) <= nextMs;
      if (tickDue) this.timeline.nowMs = Math.max(this.timeline.nowMs, nextMs);
      else this.timeline.step(nextMs);
      this.entry.nowMs = this.timeline.nowMs;
      if (tickDue) this.perform(this.entry.tickAt(this.timeline.nowMs));
    }
    this.checkResults();
  }

  private happens(share: number): boolean {
    return this.random.next() < share;
  }

  private delayMs(): number {
    return NETWORK_DELAY_MS * (0.5 + this.random.next());
  }

  private startGate(nodeId: string, incarnation: number): void {
    this.gates.set(nodeId, {nodeId, incarnation, calls: new Map()});
  }

  private sendRequest(requestId: string): void {
    const requestClass = CLASSES[this.random.nextInt(CLASSES.length)];
    const request = fixtures.request(requestId, {
      requestClass,
      deadlineMs: DEADLINE_MS,
    });
    const deadlineAtMs = this.timeline.nowMs + DEADLINE_MS;
    this.sent.set(requestId, {request, deadlineAtMs});
    this.deliver({kind: 'request', request});
    if (!this.happens(0.05)) return;
    this.timeline.schedule(SERVICE_TIME_MS * this.random.next(), () => {
      if (this.ends.has(requestId)) return;
      this.ends.set(requestId, {kind: 'gone'});
      this.deliver({kind: 'caller-gone', requestId});
    });
  }

  private deliver(event: entryContract.EntryEvent): void {
    this.entry.nowMs = this.timeline.nowMs;
    this.perform(this.entry.handle(event));
  }

  private perform(actions: readonly entryContract.EntryAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case 'dispatch':
          this.onDispatch(action.nodeId, action.call);
          break;
        case 'cancel':
          this.openAttempts.delete(action.callId);
          break;
        case 'respond':
          assert.equal(action.answer.body.toString(), action.requestId);
          this.recordEnd(action.requestId, {kind: 'respond'});
          break;
        case 'refuse':
          this.recordEnd(action.requestId, {
            kind: 'refuse',
            outcome: action.refusal.outcome,
          });
          break;
      }
    }
  }

  private recordEnd(requestId: string, ended: RequestEnd): void {
    assert.equal(this.ends.has(requestId), false, `${requestId} ended twice`);
    const sent = this.sent.get(requestId);
    assert.ok(
      sent && this.timeline.nowMs <= sent.deadlineAtMs,
      'ended after the deadline',
    );
    this.ends.set(requestId, ended);
  }

  private onDispatch(nodeId: string, call: peer.CallRequest): void {
    const requestId = requestIdOf(call.callId);
    assert.equal(
      this.ends.has(requestId),
      false,
      'dispatch after the request ended',
    );
    if (!call.resend) {
      const m = this.fleet.member(nodeId);
      assert.ok(
        m && fleetView.canReceiveRequests(this.fleet, m),
        'member may not take work',
      );
    }
    this.openAttempts.add(call.callId);
    const gate = this.gates.get(nodeId);
    assert.ok(gate !== undefined);
    if (this.happens(this.scenario.faults.silent)) {
      this.timeline.schedule(SILENCE_TIMEOUT_MS, () =>
        this.reportSilentLink(nodeId, call.callId),
      );
      if (this.happens(0.5)) return;
      this.timeline.schedule(3 * SILENCE_TIMEOUT_MS, () =>
        this.onCallArrived(gate, call),
      );
      return;
    }
    this.timeline.schedule(this.delayMs(), () =>
      this.onCallArrived(gate, call),
    );
  }

  private reportSilentLink(nodeId: string, callId: string): void {
    if (this.openAttempts.has(callId)) {
      this.deliver({kind: 'link-silent', nodeId, callId});
    }
  }

  /** Delivers a call to the gate process that it was sent to, which may have restarted since. */
  private onCallArrived(gate: FakeGate, call: peer.CallRequest): void {
    if (this.gates.get(gate.nodeId) !== gate) {
      const {nodeId} = gate;
      const {callId} = call;
      return this.deliver({
        kind: 'link-failed',
        nodeId,
        callId,
        sent: true,
        refused: false,
      });
    }
    const known = gate.calls.get(call.callId);
    if (known === 'running') return;
    if (known !== undefined) return this.scheduleReply(known);
    if (call.resend && call.gateIncarnation !== gate.incarnation) {
      return this.refuse(gate, call, {
        reason: peer.RefusalReason.LINK_FAILED,
        outcome: peer.Outcome.UNKNOWN,
      });
    }
    const {full, refusing} = this.scenario.faults;
    if (this.happens(full)) return this.refuse(gate, call, this.fullFields());
    if (this.happens(refusing)) {
      const reason =
        GATE_REFUSAL_REASONS[this.random.nextInt(GATE_REFUSAL_REASONS.length)];
      return this.refuse(gate, call, {reason});
    }
    this.startRun(gate, call);
  }

  private fullFields(): Partial<peer.CallRefusal> {
    const nodeId = `g${this.random.nextInt(this.scenario.gateCount)}`;
    const alternatives = [{nodeId, load: fixtures.load(2, {ageMs: 30})}];
    return {alternatives, load: fixtures.load(10, {queued: 3})};
  }

  private refuse(
    gate: FakeGate,
    call: peer.CallRequest,
    fields: Partial<peer.CallRefusal>,
  ): void {
    const refusal = fixtures.refusal(call.callId, fields);
    const event: entryContract.EntryEvent = {
      kind: 'refusal',
      nodeId: gate.nodeId,
      refusal,
    };
    const unrecorded = UNRECORDED_REASONS.has(refusal.reason);
    if (!unrecorded) gate.calls.set(call.callId, event);
    this.scheduleReply(event);
  }

  private startRun(gate: FakeGate, call: peer.CallRequest): void {
    gate.calls.set(call.callId, 'running');
    const requestId = requestIdOf(call.callId);
    this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
    const runMs = SERVICE_TIME_MS * (0.5 + 2 * this.random.next());
    this.timeline.schedule(runMs, () => {
      if (this.gates.get(gate.nodeId) !== gate) return;
      const status = this.happens(this.scenario.faults.errorStatus) ? 500 : 200;
      const body = Buffer.from(requestId);
      const event: entryContract.EntryEvent = {
        ...fixtures.answer(call.callId, {status, body}),
        nodeId: gate.nodeId,
      };
      gate.calls.set(call.callId, event);
      this.scheduleReply(event);
    });
  }

  private scheduleReply(event: entryContract.EntryEvent): void {
    const {duplicate, foreign} = this.scenario.faults;
    this.timeline.schedule(this.delayMs(), () => this.onReplyArrived(event));
    if (this.happens(duplicate)) {
      this.timeline.schedule(20 * this.delayMs(), () =>
        this.onReplyArrived(event),
      );
    }
    if (this.happens(foreign) && event.kind === 'answer') {
      const other = `g${this.random.nextInt(this.scenario.gateCount)}`;
      const body = Buffer.from('another request');
      const answer = {...event.answer, body};
      if (other === event.nodeId) return;
      this.deliver({kind: 'answer', nodeId: other, answer});
    }
  }

  private onReplyArrived(event: entryContract.EntryEvent): void {
    if (event.kind === 'answer') this.openAttempts.delete(event.answer.callId);
    if (event.kind === 'refusal') {
      this.openAttempts.delete(event.refusal.callId);
    }
    this.deliver(event);
  }

  /** May restart a gate under a new incarnation, which the entry's view shows after a delay. */
  private maybeRestartGate(): void {
    this.timeline.schedule(10 * ARRIVAL_INTERVAL_MS, () =>
      this.maybeRestartGate(),
    );
    if (!this.happens(this.scenario.faults.restarting)) return;
    const nodeId = `g${this.random.nextInt(this.scenario.gateCount)}`;
    const gate = this.gates.get(nodeId);
    assert.ok(gate !== undefined);
    const incarnation = gate.incarnation + 1;
    this.startGate(nodeId, incarnation);
    const member = fixtures.member(nodeId, {incarnation});
    this.timeline.schedule(100 * this.random.next(), () =>
      this.fleet.put(member),
    );
    const unfinished = [...gate.calls].flatMap(([callId, state]) =>
      state === 'running' ? [callId] : [],
    );
    for (const callId of unfinished) {
      this.deliver({
        kind: 'link-failed',
        nodeId,
        callId,
        sent: true,
        refused: false,
      });
    }
  }

  private checkResults(): void {
    for (const [requestId, {request}] of this.sent) {
      const ended = this.ends.get(requestId);
      assert.ok(ended !== undefined, `${requestId} never ended`);
      const runs = this.runs.get(requestId) ?? 0;
      if (ended.outcome === peer.Outcome.NOT_RUN) {
        assert.equal(runs, 0, `${requestId} was refused as not run`);
      }
      const runOnce = !request.requestClass.idempotent;
      if (runOnce) assert.ok(runs <= 1, `${requestId} ran ${runs} times`);
    }
    assert.equal(this.entry.core.nextWakeMs(), undefined);
    assert.equal(this.entry.counters.get('invariant.breached'), 0);
  }
}

function requestIdOf(callId: string): string {
  return callId.slice(0, callId.lastIndexOf('.'));
}
