/** Simulation of two gates with fake backend servers in virtual time, for randomised tests. */
import * as assert from 'node:assert/strict';

import * as peer from '../../generated/peer.js';
import * as invariants from '../invariants.js';
import * as randomSource from '../random_source.js';
import * as fixtures from './gate_fixtures.test.js';
import * as simulationNode from './gate_simulation_node.test.js';
import * as gateContract from './gate_contract.js';

/** Maximum interval at which a node confirms its view of the log. */
const CONFIRM_INTERVAL_MS = 400;
/** Time after which a gate whose data centre is out must not start runs. */
const MAX_REMOVAL_DELAY_MS = 3_000;
const REQUEST_PHASE_MS = 12_000;
const DRAIN_MS = 15_000;
const GATE_IDS = ['gate-1', 'gate-2'];

/** Totals of one simulation. */
export type SimulationReport = Readonly<
  Record<
    'executed' | 'answered' | 'refused' | 'secondRuns' | 'quarantined',
    number
  >
>;

/** Callers, gates, backend servers and the log in virtual time. */
export class Simulation {
  nowMs = 0;
  readonly changes: simulationNode.Change[] = [];
  private readonly nodes: ReadonlyMap<string, simulationNode.SimulatedNode>;
  private readonly random: randomSource.SeededRandom;
  private readonly eventQueue = new simulationNode.EventQueue();
  private readonly requests = new Map<string, simulationNode.Request>();
  private readonly delivered = new Set<string>();
  private readonly replied = new Set<string>();
  private readonly notRun = new Set<string>();
  private readonly executions = new Map<string, number>();
  private readonly serverDeaths = new simulationNode.DeathCounter();
  private readonly report = {answered: 0, refused: 0};

  constructor(seed: number) {
    this.random = new randomSource.SeededRandom(seed);
    this.nodes = new Map(
      GATE_IDS.map((id, i) => [
        id,
        new simulationNode.SimulatedNode(id, this, seed + i),
      ]),
    );
  }

  /** Runs the simulation. Throws at the first violation of a guarantee. */
  run(): SimulationReport {
    for (const node of this.nodes.values()) this.startNode(node);
    this.scheduleFaults();
    this.scheduleRequests();
    for (const node of this.nodes.values()) {
      this.at(REQUEST_PHASE_MS + 10_000, () => this.send(node, {kind: 'stop'}));
    }
    this.runUntil(REQUEST_PHASE_MS + 10_000 + DRAIN_MS);
    this.checkEnd();
    const count = (name: string) =>
      [...this.nodes.values()].reduce(
        (sum, n) => sum + n.counters.get(name),
        0,
      );
    return {
      ...this.report,
      executed: [...this.executions.values()].reduce((a, b) => a + b, 0),
      secondRuns: count('gate.second-run'),
      quarantined: count('refusal.quarantined'),
    };
  }

  private at(ms: number, run: () => void): void {
    this.eventQueue.add(ms, run);
  }

  private after(ms: number, run: () => void): void {
    this.at(this.nowMs + ms, run);
  }

  private chance(p: number): boolean {
    return this.random.next() < p;
  }

  private between(low: number, high: number): number {
    return low + this.random.next() * (high - low);
  }

  private node(nodeId: string): simulationNode.SimulatedNode {
    const found = this.nodes.get(nodeId);
    assert.ok(found);
    return found;
  }

  private runUntil(endMs: number): void {
    for (;;) {
      const next = this.eventQueue.takeNext();
      if (!next || next.atMs > endMs) return;
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.run();
    }
  }

  private startNode(node: simulationNode.SimulatedNode): void {
    const confirm = () => {
      if (node.view.isLogUnreachable) node.view.lastUnreachableMs = this.nowMs;
      else if (this.nowMs >= node.pausedUntilMs) node.view.confirm(this.nowMs);
      if (this.nowMs < REQUEST_PHASE_MS + 20_000) {
        this.after(CONFIRM_INTERVAL_MS * this.between(0.5, 1), confirm);
      }
    };
    confirm();
    this.send(node, {
      kind: 'server-state',
      state: 'ready',
      slots: simulationNode.SLOTS,
    });
    node.serverUpSinceMs = this.nowMs;
  }

  private scheduleFaults(): void {
    for (const node of this.nodes.values()) {
      this.at(this.between(2_000, REQUEST_PHASE_MS), () => {
        node.pausedUntilMs = this.nowMs + this.between(100, 9_000);
      });
      const unreachableMs = this.between(2_000, REQUEST_PHASE_MS);
      this.at(unreachableMs, () => (node.view.isLogUnreachable = true));
      this.at(
        unreachableMs + this.between(500, 6_000),
        () => (node.view.isLogUnreachable = false),
      );
    }
    const outMs = this.between(2_000, 5_000);
    const backMs = outMs + this.between(4_000, 7_000);
    this.changes.push({atMs: outMs, isOut: true});
    this.changes.push({atMs: backMs, isOut: false});
  }

  private scheduleRequests(): void {
    const perSecond = this.between(10, 120);
    let ms = 0;
    while (ms < REQUEST_PHASE_MS) {
      ms += -Math.log(1 - this.random.next()) * (1_000 / perSecond);
      this.at(ms, () => this.newRequest());
    }
  }

  private newRequest(): void {
    const id = `r${this.requests.size}`;
    const kills = this.chance(0.002);
    const isOrder = this.chance(0.5);
    const className = isOrder
      ? 'order'
      : this.chance(0.5)
        ? 'price'
        : 'history';
    const request = {id, className, kills};
    this.requests.set(id, request);
    const attempts = !kills && isOrder ? 1 : 1 + this.random.nextInt(4);
    for (let i = 0; i < attempts; i++) {
      const delayMs = i === 0 ? 0 : this.between(0, kills ? 5_000 : 9_000);
      this.after(delayMs + (kills ? i * 50 : 0), () =>
        this.attempt(request, i),
      );
    }
  }

  private attempt(request: simulationNode.Request, i: number): void {
    const callId = `${request.id}/${i}`;
    const node = this.node(GATE_IDS[this.random.nextInt(2)]);
    const event = fixtures.call(callId, {
      className: request.className,
      deadlineMs: Math.ceil(this.between(20, 1_500)),
      rosterOffset: this.chance(0.1) ? 11 : 10,
      fingerprint: request.id,
    });
    this.delivered.add(callId);
    this.after(this.between(0, 10), () => this.send(node, event));
    if (event.kind === 'call' && this.chance(0.1)) {
      const call = {...event.call, resend: true, gateIncarnation: 7};
      this.after(this.between(0, 300), () => this.send(node, {...event, call}));
    }
    if (this.chance(0.05)) {
      this.after(this.between(0, 100), () =>
        this.send(node, {kind: 'cancel', callId}),
      );
    }
  }

  /** Passes an event to a gate, after its pause if it is paused. */
  private send(
    node: simulationNode.SimulatedNode,
    event: gateContract.GateEvent,
  ): void {
    if (this.nowMs < node.pausedUntilMs) {
      this.at(node.pausedUntilMs + this.random.next(), () =>
        this.send(node, event),
      );
      return;
    }
    const actions = node.gate.handle(event, fixtures.instantAt(this.nowMs));
    for (const action of actions) this.perform(node, action);
    const wakeMs = node.gate.nextWakeMs();
    if (wakeMs === undefined || wakeMs === node.wakeMs) return;
    node.wakeMs = wakeMs;
    this.at(wakeMs, () => {
      if (node.wakeMs !== wakeMs) return;
      node.wakeMs = undefined;
      this.send(node, {kind: 'tick'});
    });
  }

  private perform(
    node: simulationNode.SimulatedNode,
    action: gateContract.GateAction,
  ): void {
    switch (action.kind) {
      case 'run':
        return this.startRun(node, action.call, action.run);
      case 'abort': {
        const name = `${action.callId}/${action.run}`;
        return this.after(this.between(0, 40), () => node.running.delete(name));
      }
      case 'answer':
        return this.onAnswer(action.answer);
      case 'refuse':
        return this.onRefusal(action.refusal);
      case 'tell-siblings':
        for (const nodeId of action.nodeIds) {
          const {nodeId: from} = node;
          const event = {
            kind: 'sibling-load',
            nodeId: from,
            load: action.load,
          } as const;
          if (this.nodes.has(nodeId)) this.sendLater(nodeId, event);
        }
        return;
      case 'report-suspect': {
        const {report} = action;
        for (const nodeId of GATE_IDS) {
          this.sendLater(nodeId, {kind: 'suspect', report});
        }
        return;
      }
      case 'drained':
        assert.equal(node.running.size, 0, 'drained with requests in flight');
        node.drained = true;
        return;
      default:
        return invariants.assertNever(action);
    }
  }

  private sendLater(nodeId: string, event: gateContract.GateEvent): void {
    this.after(this.between(1, 10), () => this.send(this.node(nodeId), event));
  }

  private startRun(
    node: simulationNode.SimulatedNode,
    call: peer.CallRequest,
    run: number,
  ): void {
    const {callId} = call;
    const failure = this.chance(0.06) ? this.random.nextInt(3) : undefined;
    const fail = (kind: 'not-sent' | 'shed' | 'broken', ms: number) =>
      this.after(ms, () => {
        node.running.delete(`${callId}/${run}`);
        const shed = {kind: 'shed', retryAfterMs: 10} as const;
        const reported = kind === 'shed' ? shed : {kind};
        this.send(node, fixtures.failed(callId, reported, run));
      });
    if (failure === 0 || !node.isServerUp) return fail('not-sent', 1);
    if (failure === 1) return fail('shed', 1);
    this.execute(node, call, run);
    const request = this.requests.get(call.fingerprint);
    if (request?.kills) return this.after(3, () => this.kill(node, request.id));
    if (failure === 2) return fail('broken', this.between(1, 50));
    this.finishLater(node, call, run);
  }

  /**
   * Executes a run on the backend server, within its capacity. Records the executions that later
   * refusals must not contradict.
   */
  private execute(
    node: simulationNode.SimulatedNode,
    call: peer.CallRequest,
    run: number,
  ): void {
    const ms = this.nowMs;
    node.running.set(`${call.callId}/${run}`, call);
    assert.ok(node.running.size <= node.capacity(ms), `overload at ${ms}`);
    const out = this.changes.filter(c => c.atMs <= ms).at(-1);
    const isLate = out?.isOut && ms - out.atMs > MAX_REMOVAL_DELAY_MS;
    const isExempt =
      node.nodeId !== 'gate-1' ||
      ms - node.view.lastUnreachableMs <= CONFIRM_INTERVAL_MS;
    assert.ok(!isLate || isExempt, `work for a data centre out at ${ms}`);
    assert.ok(
      !this.notRun.has(call.callId),
      `${call.callId} ran after "not run"`,
    );
    if (call.className !== 'order') return;
    const callId = call.callId;
    const count = (this.executions.get(callId) ?? 0) + 1;
    this.executions.set(callId, count);
    assert.equal(count, 1, `${callId} ran twice, at ${ms}`);
  }

  private finishLater(
    node: simulationNode.SimulatedNode,
    call: peer.CallRequest,
    run: number,
  ): void {
    const isSlow = this.chance(0.03);
    const isSilent = this.chance(0.02);
    const serviceMs = isSlow ? this.between(100, 1_200) : this.between(3, 25);
    const {boot} = node;
    this.after(serviceMs, () => {
      const name = `${call.callId}/${run}`;
      if (node.boot !== boot || !node.running.delete(name) || isSilent) return;
      const body = Buffer.from(call.fingerprint);
      const answer = {...fixtures.answered(call.callId, run), body};
      this.send(node, answer as gateContract.GateEvent);
    });
  }

  private kill(node: simulationNode.SimulatedNode, requestId: string): void {
    if (!node.isServerUp) return;
    node.isServerUp = false;
    node.boot++;
    this.serverDeaths.add(requestId, this.nowMs);
    for (const call of node.running.values()) {
      if (!this.chance(0.5)) continue;
      this.send(node, fixtures.failed(call.callId, {kind: 'broken'}));
    }
    node.running.clear();
    this.after(5, () => this.send(node, {kind: 'server-lost'}));
    this.after(300, () => {
      node.isServerUp = true;
      node.serverUpSinceMs = this.nowMs;
      this.send(node, {
        kind: 'server-state',
        state: 'ready',
        slots: simulationNode.SLOTS,
      });
    });
  }

  private onAnswer(answer: peer.CallAnswer): void {
    const requestId = answer.callId.split('/')[0];
    assert.equal(
      answer.body.toString(),
      requestId,
      'answer of another request',
    );
    this.replied.add(answer.callId);
    this.report.answered++;
  }

  private onRefusal(refusal: peer.CallRefusal): void {
    this.replied.add(refusal.callId);
    this.report.refused++;
    if (refusal.outcome !== peer.Outcome.NOT_RUN) return;
    this.notRun.add(refusal.callId);
    assert.ok(
      !this.executions.has(refusal.callId),
      `${refusal.callId} had run`,
    );
  }

  private checkEnd(): void {
    for (const node of this.nodes.values()) {
      assert.equal(node.counters.get('invariant.breached'), 0);
      assert.ok(node.drained, `${node.nodeId} not drained`);
    }
    const unanswered = [...this.delivered].filter(id => !this.replied.has(id));
    assert.deepEqual(unanswered, [], 'calls without a reply');
  }
}
