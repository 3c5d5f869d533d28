/** The process of a node in virtual time: entry and gate. */
import * as crashSuspects from '../../src/common/serving/crash_suspects.js';
import * as entryCall from '../../src/common/serving/entry_call.js';
import * as entryModule from '../../src/common/serving/entry.js';
import * as gateCall from '../../src/common/serving/gate_call.js';
import * as gateReports from '../../src/common/serving/gate_reports.js';
import * as incarnations from '../../src/common/serving/incarnations.js';
import * as operatorIntent from '../../src/common/serving/operator_intent.js';
import * as placement from '../../src/common/serving/placement.js';
import * as serverGate from '../../src/common/serving/server_gate.js';
import * as serverStatement from '../../src/common/serving/server_statement.js';
import * as randomSource from '../../src/common/random_source.js';
import * as units from '../../src/common/units.js';
import * as serving from '../../src/generated/serving.js';
import * as pulseInterval from '../../src/node/serving/pulse_interval.js';
import * as fleetContext from './fleet_context.js';
import * as servingFleetNode from './serving_fleet_node.js';

/** Interval of timers and of health checks of a busy node. */
const TICK_MS = 10;
const HEALTH_CHECK_MS = 100;

/** Ticks between looks at which pulses are due. */
const PULSE_TICKS = 5;

/** Retries of the fleet for each request, beyond its slack. */
const RETRY_RATIO = 0.2;

/** Bytes of answers that a gate holds for resends. */
const REPLY_BYTES = 1_000_000;

/** Maximum age of the first pulses, so that gates do not send theirs at the same time. */
const FIRST_PULSE_AGE_MS = 4_000;

interface OpenRequest {
  readonly onReply: (reply: fleetContext.Reply) => void;
}

/** The incarnation that gave an answer, and what the answer states. */
export interface AnswerOrigin {
  readonly incarnation: string;
  readonly statement: serverStatement.ServerStatement;
}

/** Entry and gate of a node, with the state that a restart loses. */
export class FleetProcess {
  readonly id: number;
  readonly entry: entryModule.Entry;
  readonly gate: serverGate.ServerGate;
  private readonly reports = new gateReports.GateReports();
  private readonly intent = new operatorIntent.OperatorIntent();
  private readonly open = new Map<number, OpenRequest>();
  private readonly startedMs: units.MonotonicMs;
  private lastRequest = 0;
  private ticks = 0;
  private ended = false;
  /** What came while the process was frozen; undefined while it runs. */
  private backlog: Array<() => void> | undefined;
  private frozenMs: units.MonotonicMs = 0;
  /** Nodes of open attempts of the entry, by attempt. */
  private readonly attempts = new Map<number, string>();
  /** Keys of runs on the backend server. */
  private readonly runs = new Set<string>();
  /** Origin of the answers to this entry's attempts. */
  private readonly origins = new Map<string, AnswerOrigin>();
  /** Nodes whose links are lost. */
  private readonly unreachable = new Set<string>();
  /** Times of the latest pulse and request, by the entry's node id. */
  private readonly pulsedMs = new Map<string, units.MonotonicMs>();
  private readonly dispatchedMs = new Map<string, units.MonotonicMs>();

  constructor(
    private readonly fleet: fleetContext.FleetContext,
    readonly node: servingFleetNode.FleetNode,
    private readonly random: randomSource.RandomSource,
  ) {
    this.id = fleet.nextProcessId();
    this.startedMs = fleet.clock.nowMs;
    const position = {era: 0, offset: 0};
    const {document} = fleet;
    this.intent.applySnapshot({document, dataCentres: [], position}, 0);
    this.gate = this.makeGate();
    this.entry = this.makeEntry();
  }

  /** Whether the process is suspended. */
  get isFrozen(): boolean {
    return this.backlog !== undefined;
  }

  /** Starts the timers and connects to the other nodes. */
  start(): void {
    const {clock} = this.fleet;
    this.checkHealth();
    this.announceLoad();
    for (const {nodeId, process} of this.fleet.nodes()) {
      this.pulsedMs.set(
        nodeId,
        clock.nowMs - this.random.next() * FIRST_PULSE_AGE_MS,
      );
      if (process && process !== this) process.sendLoad(this);
    }
    clock.after(this.random.next() * TICK_MS, () => this.tick());
    clock.after(this.random.next() * HEALTH_CHECK_MS, () => this.checkOften());
  }

  /** Ends the process; open requests and runs end with their connections. */
  end(): void {
    this.ended = true;
    for (const key of this.runs) this.node.abortRun(key);
    for (const {onReply} of [...this.open.values()]) {
      onReply({kind: 'connection-lost'});
    }
  }

  freeze(): void {
    this.backlog = [];
    this.frozenMs = this.fleet.clock.nowMs;
  }

  resume(): void {
    const {backlog} = this;
    if (backlog === undefined) return;
    this.backlog = undefined;
    const {nowMs} = this.fleet.clock;
    this.gate.onResumed(nowMs - this.frozenMs, nowMs);
    for (const task of backlog) this.handle(task);
  }

  /** Runs a task, or when the process resumes; never after its end. */
  handle(task: () => void): void {
    if (this.ended) return;
    if (this.backlog) this.backlog.push(task);
    else task();
  }

  /** Sends a request of this node's callers or of its backend server. */
  send(
    requestClass: fleetContext.RequestClass,
    timeLeftMs: units.Millis,
    onReply: (reply: fleetContext.Reply) => void,
  ): void {
    const id = ++this.lastRequest;
    const {clock} = this.fleet;
    const {nodeId} = this.node;
    const requestId = `${nodeId} ${clock.nowMs} ${this.id}/${id}`;
    this.open.set(id, {onReply});
    this.handle(() => {
      const {nowMs} = clock;
      this.reports.onLoad(nodeId, this.gate.load(nowMs), nowMs);
      const request: entryCall.CallerRequest = {
        id,
        requestId,
        method: 'GET',
        target: requestClass.route.pathPrefix,
        headers: [],
        body: Buffer.alloc(0),
        timeLeftMs,
        fingerprint: requestId,
      };
      this.entry.onRequest(request, requestClass.route, nowMs);
    });
  }

  onAnnouncement(announcement: incarnations.Announcement): void {
    this.handle(() =>
      this.gate.onAnnouncement(announcement, this.fleet.clock.nowMs),
    );
  }

  /** Handles an answer of the backend server. */
  onAnswer(key: string, status: number, origin: AnswerOrigin): void {
    this.handle(() => {
      if (!this.runs.delete(key)) return;
      const {nowMs} = this.fleet.clock;
      this.origins.set(key, origin);
      this.gate.onServerLoad(this.node.load(), nowMs);
      this.gate.onStatement(key, origin.statement, nowMs);
      const answer = {status, headers: [], body: Buffer.alloc(0)};
      this.gate.onRunEnded(key, {kind: 'answered', answer}, nowMs);
    });
  }

  /** Handles the end of a run without an answer. */
  onRunEnd(key: string, end: gateCall.RunEnd): void {
    this.handle(() => {
      this.runs.delete(key);
      this.gate.onRunEnded(key, end, this.fleet.clock.nowMs);
    });
  }

  /** Ends all runs, as the backend server has died. */
  breakRuns(): void {
    for (const key of [...this.runs]) this.onRunEnd(key, {kind: 'broken'});
  }

  /** Handles the loss of the link to another process, noticed after `afterMs`. */
  loseLink(other: FleetProcess, afterMs: units.Millis): void {
    const {nodeId} = other.node;
    this.unreachable.add(nodeId);
    this.fleet.clock.after(afterMs, () =>
      this.handle(() => {
        const {nowMs} = this.fleet.clock;
        this.reports.forget(nodeId);
        for (const [attempt, target] of [...this.attempts]) {
          if (target !== nodeId) continue;
          this.attempts.delete(attempt);
          this.entry.onLinkFailed(nodeId, attempt, true, nowMs);
        }
        this.gate.onLinkLost(other.id, nowMs);
      }),
    );
  }

  /** Sends the load to all other nodes, as over new links. */
  announceLoad(): void {
    for (const {process} of this.fleet.nodes()) {
      if (process && process !== this) this.sendLoad(process);
    }
  }

  private makeGate(): serverGate.ServerGate {
    const {node, fleet} = this;
    return new serverGate.ServerGate({
      service: () => node.service,
      dataCentre: node.dataCentre,
      intent: this.intent,
      suspects: new crashSuspects.CrashSuspects(),
      log: {write: () => undefined},
      random: this.random,
      replyBytes: REPLY_BYTES,
      isEntryUp: () => false,
      coldRateFactor: 1.25,
      startedMs: this.startedMs - 10_000,
      soleSenderSinceMs: this.startedMs,
      output: {
        run: (call, instanceId, timeLeftMs) => {
          this.runs.add(call.key);
          node.run(this, call, instanceId, timeLeftMs);
        },
        abort: key => {
          this.runs.delete(key);
          node.abortRun(key);
        },
        answer: (linkId, value) =>
          this.reply(linkId, process => {
            process.passOn(value.call, this.takeOrigin(process, value));
            process.entry.onAnswer(node.nodeId, value, fleet.clock.nowMs);
          }),
        refuse: (linkId, value) =>
          this.reply(linkId, process => {
            process.attempts.delete(value.call);
            process.entry.onRefusal(node.nodeId, value, fleet.clock.nowMs);
          }),
        checkHealth: () => this.checkHealth(),
        sampleLoad: () => this.checkHealth(),
        reportSuspect: () => undefined,
        rateLimitChanged: () => this.announceLoad(),
        closureChanged: () => this.announceLoad(),
      },
    });
  }

  private makeEntry(): entryModule.Entry {
    const {fleet, node} = this;
    return new entryModule.Entry({
      intent: this.intent,
      reports: this.reports,
      placement: new placement.Placement({
        dataCentre: node.dataCentre,
        directory: {gatesOf: service => this.gatesOf(service)},
        reports: this.reports,
        random: this.random,
      }),
      budget: {ratio: RETRY_RATIO, slack: fleet.retrySlack},
      nodeCount: () => fleet.nodes().length,
      random: this.random,
      log: {write: () => undefined},
      output: {
        dispatch: (nodeId, dispatch) => this.dispatch(nodeId, dispatch),
        withdraw: (nodeId, call) => this.withdraw(nodeId, call),
        respond: (id, answer) =>
          this.endRequest(id, {kind: 'answer', status: answer.status}),
        giveUp: (id, giveUp) => this.endRequest(id, {kind: 'give-up', giveUp}),
      },
    });
  }

  private gatesOf(service: string): readonly placement.KnownGate[] {
    return this.fleet
      .nodes()
      .filter(node => node.service === service)
      .map(({nodeId, dataCentre}) => ({
        nodeId,
        dataCentre,
        service,
        reachable: !this.unreachable.has(nodeId),
        maybeUnreachable: false,
      }));
  }

  private takeOrigin(
    process: FleetProcess,
    answer: serving.Answer,
  ): AnswerOrigin | undefined {
    const key = keyOf(process, answer);
    const origin = this.origins.get(key);
    this.origins.delete(key);
    return origin;
  }

  /** Records the answer to an attempt as passed on to the caller. */
  private passOn(attempt: number, origin: AnswerOrigin | undefined): void {
    if (!this.attempts.delete(attempt) || origin === undefined) return;
    this.fleet.audit.onPassedOn(
      this.node.nodeId,
      origin.incarnation,
      origin.statement,
      this.fleet.clock.nowMs,
    );
  }

  private endRequest(id: number, reply: fleetContext.Reply): void {
    const request = this.open.get(id);
    this.open.delete(id);
    request?.onReply(reply);
  }

  private dispatch(nodeId: string, dispatch: serving.Dispatch): void {
    const sentMs = this.fleet.clock.nowMs;
    this.attempts.set(dispatch.call, nodeId);
    this.sendTo(this.fleet.nodeOf(nodeId), target => {
      const {nowMs} = this.fleet.clock;
      target.dispatchedMs.set(this.node.nodeId, nowMs);
      const key = keyOf(this, dispatch);
      const waitedMs = sentMs < target.frozenMs ? nowMs - sentMs : 0;
      target.gate.onCall({key, linkId: this.id, dispatch, waitedMs}, nowMs);
    });
  }

  private withdraw(nodeId: string, call: number): void {
    this.attempts.delete(call);
    this.sendTo(this.fleet.nodeOf(nodeId), target =>
      target.gate.onWithdraw(keyOf(this, {call}), this.fleet.clock.nowMs),
    );
  }

  private reply(
    linkId: number,
    deliver: (process: FleetProcess) => void,
  ): void {
    const node = this.fleet.nodes().find(n => n.process?.id === linkId);
    if (node) this.sendTo(node, deliver);
  }

  /** Delivers a message to the present process of a node, unless it is lost on the way. */
  private sendTo(
    target: servingFleetNode.FleetNode,
    deliver: (process: FleetProcess) => void,
  ): void {
    const {process} = target;
    if (process === undefined || !this.node.reaches(target)) return;
    this.fleet.clock.after(this.node.delayTo(target), () => {
      if (this.ended || !this.node.reaches(target)) return;
      process.handle(() => deliver(process));
    });
  }

  private sendLoad(target: FleetProcess): void {
    const load = this.gate.load(this.fleet.clock.nowMs);
    const {nodeId} = this.node;
    this.pulsedMs.set(target.node.nodeId, this.fleet.clock.nowMs);
    this.sendTo(target.node, process => {
      process.unreachable.delete(nodeId);
      this.unreachable.delete(process.node.nodeId);
      process.reports.onLoad(nodeId, load, this.fleet.clock.nowMs);
    });
  }

  private checkHealth(): void {
    this.fleet.clock.after(1, () =>
      this.handle(() => {
        const {nowMs} = this.fleet.clock;
        this.gate.onServerLoad(this.node.load(), nowMs);
        this.gate.onHealth(this.node.server.health(), nowMs);
      }),
    );
  }

  private checkOften(): void {
    if (this.ended) return;
    this.checkHealth();
    this.fleet.clock.after(HEALTH_CHECK_MS, () => this.checkOften());
  }

  private tick(): void {
    if (this.ended) return;
    const {clock} = this.fleet;
    if (!this.isFrozen) {
      this.entry.tick(clock.nowMs);
      this.gate.tick(clock.nowMs);
      if (++this.ticks % PULSE_TICKS === 0) this.sendPulses(clock.nowMs);
    }
    clock.after(TICK_MS, () => this.tick());
  }

  private sendPulses(now: units.MonotonicMs): void {
    const nodes = this.fleet.nodes();
    for (const {nodeId, process} of nodes) {
      if (process === undefined || process === this) continue;
      const sinceDispatchMs =
        now - (this.dispatchedMs.get(nodeId) ?? -Infinity);
      const intervalMs = pulseInterval.pulseIntervalMs(
        sinceDispatchMs,
        nodes.length,
      );
      if (now - this.pulsedMs.get(nodeId)! < intervalMs) continue;
      this.sendLoad(process);
    }
  }
}

function keyOf(process: FleetProcess, {call}: {readonly call: number}): string {
  return `${process.id}/${call}`;
}
