/** An entry among fake gates in virtual time, with the invariants of the path asserted. */
import * as assert from 'node:assert/strict';

import * as configuration from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as randomSource from '../random_source.js';
import * as contract from './entry_contract.js';
import * as fixtures from './entry_fixtures.test.js';

/** How often things go wrong, as shares in [0, 1]. */
export interface Faults {
  readonly full: number;
  readonly refusing: number;
  readonly silent: number;
  readonly dying: number;
  readonly duplicate: number;
  readonly foreign: number;
  readonly errorStatus: number;
}

/** A run of requests against gates. */
export interface Scenario {
  readonly seed: number;
  readonly gates: number;
  readonly requests: number;
  readonly faults: Faults;
}

const RUN_MS = 20;
const NETWORK_MS = 2;
const SILENCE_MS = 50;
const DEADLINE_MS = 400;
const ARRIVAL_MS = 15;
const QUIET_MS = 5_000;

const REASONS: readonly peer.RefusalReason[] = [
  peer.RefusalReason.COLD_START,
  peer.RefusalReason.LEAVING,
  peer.RefusalReason.SERVER_SHED,
  peer.RefusalReason.SERVER_ABSENT,
  peer.RefusalReason.QUARANTINED,
];

/** Reasons of a gate that takes no new work for now and remembers nothing of what it refuses. */
const CLOSED_REASONS: ReadonlySet<peer.RefusalReason> = new Set([
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

interface Ended {
  readonly kind: 'respond' | 'refuse' | 'gone';
  readonly outcome?: peer.Outcome;
}

interface Sent {
  readonly request: contract.CallerRequest;
  readonly deadlineAtMs: number;
}

/** A gate that runs each call id once, as the contract of gates says. */
interface FakeGate {
  readonly nodeId: string;
  readonly incarnation: number;
  /** Calls of this incarnation by call id: their final message once there is one. */
  readonly calls: Map<string, contract.EntryEvent | 'running'>;
}

/** Events in virtual time. */
class Timeline {
  private readonly due: {readonly atMs: number; readonly work: () => void}[] =
    [];
  nowMs = 0;

  after(delayMs: number, work: () => void): void {
    const atMs = this.nowMs + delayMs;
    let i = this.due.length;
    while (i > 0 && this.due[i - 1].atMs > atMs) i--;
    this.due.splice(i, 0, {atMs, work});
  }

  nextMs(): number | undefined {
    return this.due.at(0)?.atMs;
  }

  /** Moves to `atMs` and does the first thing due by then. */
  step(atMs: number): void {
    this.nowMs = atMs;
    const first = this.due.at(0);
    if (first !== undefined && first.atMs <= atMs) this.due.shift()?.work();
  }
}

/** The entry under test with its surroundings. */
export class World {
  private readonly time = new Timeline();
  private readonly random: randomSource.RandomSource;
  private readonly gates = new Map<string, FakeGate>();
  private readonly fleet: fixtures.FakeFleet;
  private readonly sent = new Map<string, Sent>();
  private readonly ends = new Map<string, Ended>();
  private readonly runs = new Map<string, number>();
  private readonly openAttempts = new Set<string>();
  readonly entry: fixtures.Entry;

  constructor(private readonly scenario: Scenario) {
    this.random = new randomSource.SeededRandom(scenario.seed);
    const nodes = Array.from({length: scenario.gates}, (unused, i) => `g${i}`);
    this.fleet = new fixtures.FakeFleet(nodes);
    for (const nodeId of nodes) this.putGate(nodeId, 7);
    const random = new randomSource.SeededRandom(scenario.seed + 1);
    this.entry = new fixtures.Entry(this.fleet, {random, maxCalls: 1_000});
  }

  /** Runs all requests to their ends and everything still on its way after them. */
  run(): void {
    for (let i = 0; i < this.scenario.requests; i++) {
      this.time.after(i * ARRIVAL_MS, () => this.sendRequest(`r${i}`));
    }
    this.time.after(0, () => this.maybeDie());
    const endMs = this.scenario.requests * ARRIVAL_MS + QUIET_MS;
    for (;;) {
      const next = Math.min(
        this.time.nextMs() ?? Infinity,
        this.entry.core.nextWakeMs() ?? Infinity,
      );
      if (next > endMs) break;
      const timer = (this.entry.core.nextWakeMs() ?? Infinity) <= next;
      if (timer) this.time.nowMs = Math.max(this.time.nowMs, next);
      else this.time.step(next);
      this.entry.nowMs = this.time.nowMs;
      if (timer) this.act(this.entry.tickAt(this.time.nowMs));
    }
    this.checkEnds();
  }

  private chance(share: number): boolean {
    return this.random.next() < share;
  }

  private delayMs(): number {
    return NETWORK_MS * (0.5 + this.random.next());
  }

  private putGate(nodeId: string, incarnation: number): void {
    this.gates.set(nodeId, {nodeId, incarnation, calls: new Map()});
  }

  private sendRequest(requestId: string): void {
    const requestClass = CLASSES[this.random.nextInt(CLASSES.length)];
    const request = fixtures.request(requestId, {
      requestClass,
      deadlineMs: DEADLINE_MS,
    });
    const deadlineAtMs = this.time.nowMs + DEADLINE_MS;
    this.sent.set(requestId, {request, deadlineAtMs});
    this.deliver({kind: 'request', request});
    if (!this.chance(0.05)) return;
    this.time.after(RUN_MS * this.random.next(), () => {
      if (this.ends.has(requestId)) return;
      this.ends.set(requestId, {kind: 'gone'});
      this.deliver({kind: 'caller-gone', requestId});
    });
  }

  private deliver(event: contract.EntryEvent): void {
    this.entry.nowMs = this.time.nowMs;
    this.act(this.entry.handle(event));
  }

  private act(actions: readonly contract.EntryAction[]): void {
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
          this.end(action.requestId, {kind: 'respond'});
          break;
        case 'refuse':
          this.end(action.requestId, {
            kind: 'refuse',
            outcome: action.refusal.outcome,
          });
          break;
      }
    }
  }

  private end(requestId: string, ended: Ended): void {
    assert.equal(this.ends.has(requestId), false, `${requestId} ended twice`);
    const sent = this.sent.get(requestId);
    assert.ok(sent && this.time.nowMs <= sent.deadlineAtMs, 'ended late');
    this.ends.set(requestId, ended);
  }

  private onDispatch(nodeId: string, call: peer.CallRequest): void {
    const requestId = requestOf(call.callId);
    assert.equal(this.ends.has(requestId), false, 'dispatch after the end');
    if (!call.resend) {
      const m = this.fleet.member(nodeId);
      assert.ok(m && fleetView.mayTakeWork(this.fleet, m), 'member is out');
    }
    this.openAttempts.add(call.callId);
    const gate = this.gates.get(nodeId);
    assert.ok(gate !== undefined);
    if (this.chance(this.scenario.faults.silent)) {
      this.time.after(SILENCE_MS, () => this.silence(nodeId, call.callId));
      if (this.chance(0.5)) return;
      this.time.after(3 * SILENCE_MS, () => this.arrive(gate, call));
      return;
    }
    this.time.after(this.delayMs(), () => this.arrive(gate, call));
  }

  private silence(nodeId: string, callId: string): void {
    if (this.openAttempts.has(callId)) {
      this.deliver({kind: 'link-silent', nodeId, callId});
    }
  }

  /** A call reaches the process that its link led to, which may be gone by now. */
  private arrive(gate: FakeGate, call: peer.CallRequest): void {
    if (this.gates.get(gate.nodeId) !== gate) {
      const {nodeId} = gate;
      const {callId} = call;
      return this.deliver({kind: 'link-failed', nodeId, callId, sent: true});
    }
    const known = gate.calls.get(call.callId);
    if (known === 'running') return;
    if (known !== undefined) return this.reply(known);
    if (call.resend && call.gateIncarnation !== gate.incarnation) {
      return this.refuse(gate, call, {
        reason: peer.RefusalReason.LINK_FAILED,
        outcome: peer.Outcome.UNKNOWN,
      });
    }
    const {full, refusing} = this.scenario.faults;
    if (this.chance(full)) return this.refuse(gate, call, this.fullFields());
    if (this.chance(refusing)) {
      const reason = REASONS[this.random.nextInt(REASONS.length)];
      return this.refuse(gate, call, {reason});
    }
    this.startRun(gate, call);
  }

  private fullFields(): Partial<peer.CallRefusal> {
    const nodeId = `g${this.random.nextInt(this.scenario.gates)}`;
    const alternatives = [{nodeId, load: fixtures.load(2, {ageMs: 30})}];
    return {alternatives, load: fixtures.load(10, {queued: 3})};
  }

  private refuse(
    gate: FakeGate,
    call: peer.CallRequest,
    fields: Partial<peer.CallRefusal>,
  ): void {
    const refusal = fixtures.refusal(call.callId, fields);
    const event: contract.EntryEvent = {
      kind: 'refusal',
      nodeId: gate.nodeId,
      refusal,
    };
    const closed = CLOSED_REASONS.has(refusal.reason);
    if (!closed) gate.calls.set(call.callId, event);
    this.reply(event);
  }

  private startRun(gate: FakeGate, call: peer.CallRequest): void {
    gate.calls.set(call.callId, 'running');
    const requestId = requestOf(call.callId);
    this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
    const runMs = RUN_MS * (0.5 + 2 * this.random.next());
    this.time.after(runMs, () => {
      if (this.gates.get(gate.nodeId) !== gate) return;
      const status = this.chance(this.scenario.faults.errorStatus) ? 500 : 200;
      const body = Buffer.from(requestId);
      const event: contract.EntryEvent = {
        ...fixtures.answer(call.callId, {status, body}),
        nodeId: gate.nodeId,
      };
      gate.calls.set(call.callId, event);
      this.reply(event);
    });
  }

  private reply(event: contract.EntryEvent): void {
    const {duplicate, foreign} = this.scenario.faults;
    this.time.after(this.delayMs(), () => this.receive(event));
    if (this.chance(duplicate)) {
      this.time.after(20 * this.delayMs(), () => this.receive(event));
    }
    if (this.chance(foreign) && event.kind === 'answer') {
      const other = `g${this.random.nextInt(this.scenario.gates)}`;
      const body = Buffer.from('of another request');
      const answer = {...event.answer, body};
      if (other === event.nodeId) return;
      this.deliver({kind: 'answer', nodeId: other, answer});
    }
  }

  private receive(event: contract.EntryEvent): void {
    if (event.kind === 'answer') this.openAttempts.delete(event.answer.callId);
    if (event.kind === 'refusal') {
      this.openAttempts.delete(event.refusal.callId);
    }
    this.deliver(event);
  }

  /** Lets a gate die and come back as another incarnation, seen at once or later. */
  private maybeDie(): void {
    this.time.after(10 * ARRIVAL_MS, () => this.maybeDie());
    if (!this.chance(this.scenario.faults.dying)) return;
    const nodeId = `g${this.random.nextInt(this.scenario.gates)}`;
    const gate = this.gates.get(nodeId);
    assert.ok(gate !== undefined);
    const incarnation = gate.incarnation + 1;
    this.putGate(nodeId, incarnation);
    const member = fixtures.member(nodeId, {incarnation});
    this.time.after(100 * this.random.next(), () => this.fleet.put(member));
    const unfinished = [...gate.calls].flatMap(([callId, state]) =>
      state === 'running' ? [callId] : [],
    );
    for (const callId of unfinished) {
      this.deliver({kind: 'link-failed', nodeId, callId, sent: true});
    }
  }

  private checkEnds(): void {
    for (const [requestId, {request}] of this.sent) {
      const ended = this.ends.get(requestId);
      assert.ok(ended !== undefined, `${requestId} never ended`);
      const runs = this.runs.get(requestId) ?? 0;
      if (ended.outcome === peer.Outcome.NOT_RUN) {
        assert.equal(runs, 0, `${requestId} was refused as not run`);
      }
      const once = !request.requestClass.idempotent;
      if (once) assert.ok(runs <= 1, `${requestId} ran ${runs} times`);
    }
    assert.equal(this.entry.core.nextWakeMs(), undefined);
    assert.equal(this.entry.counters.get('invariant.breached'), 0);
  }
}

function requestOf(callId: string): string {
  return callId.slice(0, callId.lastIndexOf('.'));
}
