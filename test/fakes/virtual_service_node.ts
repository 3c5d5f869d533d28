/** A node in virtual time: executes the actions of its entry and gate cores. */
import * as entryContract from '../../src/common/entry/entry_contract.js';
import * as gateContract from '../../src/common/gate/gate_contract.js';
import * as core from '../../src/common/core.js';
import * as invariants from '../../src/common/invariants.js';
import * as peer from '../../src/generated/peer.js';
import * as randomSource from '../../src/common/random_source.js';
import * as units from '../../src/common/units.js';
import * as virtualServiceClock from './virtual_service_clock.js';
import * as virtualServiceNetwork from './virtual_service_network.js';
import * as virtualServiceRunner from './virtual_service_runner.js';
import * as virtualServiceServer from './virtual_service_server.js';
import * as virtualServiceView from './virtual_service_view.js';

/** The two cores of a node; a node without a backend server has no gate. */
export interface NodeCores {
  readonly entry: core.Core<
    entryContract.EntryEvent,
    entryContract.EntryAction
  >;
  readonly gate?: core.Core<gateContract.GateEvent, gateContract.GateAction>;
}

/** The final result of a request at an entry, undefined if the entry died. */
export type FinalResult =
  | Extract<entryContract.EntryAction, {readonly kind: 'respond' | 'refuse'}>
  | undefined;

/** The fleet as its nodes use it: clock, network and observers. */
export interface NodeEnvironment {
  readonly clock: virtualServiceClock.VirtualClock;
  readonly random: randomSource.RandomSource;
  readonly network: virtualServiceNetwork.VirtualNetwork;
  node(nodeId: string): VirtualNode | undefined;
  onDispatch(node: VirtualNode, call: peer.CallRequest): void;
  onRun(node: VirtualNode, call: peer.CallRequest): void;
  onServerDeath(node: VirtualNode, cause: peer.CallRequest | undefined): void;
  onSuspect(node: VirtualNode, report: peer.SuspectReport): void;
  onDrained(node: VirtualNode): void;
  onCoreError(node: VirtualNode, err: unknown): void;
  onDatagramSent(datagram: peer.Datagram): void;
}

/** Smallest delay of a tick. */
const MIN_TICK_DELAY_MS = 1;
/** Time until a node notices that its backend server died. */
const SERVER_LOSS_DETECTION_MS = 1;
/** Time after a pause until a node has confirmed its view of the fleet. */
const CONFIRMATION_MS = 100;
const OWN_ENTRY: gateContract.CallSource = {kind: 'own-entry'};

/** Time of the scheduled tick of a core, undefined if there is none. */
class TickTimer {
  atMs: units.MonotonicMs | undefined;
}

/** Runs one node's cores on the virtual clock. */
export class VirtualNode implements virtualServiceNetwork.LinkEndpoint {
  isUp = true;
  /** Whether load reports show an idle gate, whatever its load (fault injection). */
  reportsNoLoad = false;

  readonly runner: virtualServiceRunner.ServerRunner | undefined;
  private pausedUntilMs = 0;
  private cores: NodeCores | undefined;
  private readonly entryTimer = new TickTimer();
  private readonly gateTimer = new TickTimer();
  private readonly pendingRequests = new Map<
    string,
    (final: FinalResult) => void
  >();
  private readonly inboundLinks = new Map<number, virtualServiceNetwork.Link>();
  private generation = 0;

  constructor(
    readonly member: peer.Member,
    readonly view: virtualServiceView.VirtualView,
    readonly server: virtualServiceServer.VirtualServer | undefined,
    private readonly fleet: NodeEnvironment,
  ) {
    this.runner =
      server &&
      new virtualServiceRunner.ServerRunner(
        server,
        fleet.clock,
        fleet.random,
        event => this.sendToGate(event),
      );
  }

  get nodeId(): string {
    return this.member.nodeId;
  }

  get dataCentre(): string {
    return this.member.dataCentre;
  }

  get region(): string {
    return this.member.region;
  }

  /** Starts the process with new cores; scheduled tasks of the previous process are void. */
  start(cores: NodeCores): void {
    this.cores = cores;
    this.isUp = true;
    this.generation++;
  }

  /** Ends the process at once; links break and waiting callers get `undefined`. */
  kill(): void {
    this.isUp = false;
    this.generation++;
    this.pausedUntilMs = Math.min(this.pausedUntilMs, this.fleet.clock.nowMs);
    this.view.stale = false;
    this.cores = undefined;
    this.entryTimer.atMs = undefined;
    this.gateTimer.atMs = undefined;
    const waiting = [...this.pendingRequests.values()];
    this.pendingRequests.clear();
    this.inboundLinks.clear();
    this.runner?.abortAll();
    this.fleet.network.dropLinksOf(this);
    for (const onFinal of waiting) onFinal(undefined);
  }

  /** Submits a caller's request; `onFinal` is called once unless the caller cancels. */
  submit(
    req: entryContract.CallerRequest,
    onFinal: (final: FinalResult) => void,
  ): void {
    if (!this.isUp) return onFinal(undefined);
    this.pendingRequests.set(req.requestId, onFinal);
    this.sendToEntry({kind: 'request', request: req});
  }

  isWaiting(requestId: string): boolean {
    return this.pendingRequests.has(requestId);
  }

  /** Closes the caller's connection, which cancels its request. */
  cancelByCaller(requestId: string): void {
    this.pendingRequests.delete(requestId);
    this.sendToEntry({kind: 'caller-gone', requestId});
  }

  /** Suspends the process; events that arrive meanwhile are handled when it resumes. */
  pause(durationMs: units.Millis): void {
    if (this.isPaused) return;
    this.pausedUntilMs = this.fleet.clock.nowMs + durationMs;
    this.view.stale = true;
    this.fleet.clock.after(durationMs + CONFIRMATION_MS, () => {
      if (!this.isPaused) this.view.stale = false;
    });
  }

  /** End of the latest pause; in the future while the process is paused. */
  get resumedAtMs(): units.MonotonicMs {
    return this.pausedUntilMs;
  }

  get isPaused(): boolean {
    return this.fleet.clock.nowMs < this.pausedUntilMs;
  }

  /** Updates the view, after the pause if the process is paused. */
  adopt(state: virtualServiceView.ViewState): void {
    if (this.isPaused) return this.afterPause(() => this.adopt(state));
    this.view.adopt(state);
  }

  sendToEntry(event: entryContract.EntryEvent): void {
    if (this.isPaused) return this.afterPause(() => this.sendToEntry(event));
    const entry = this.cores?.entry;
    if (entry === undefined) return;
    for (const action of this.handle(entry, event)) this.onEntryAction(action);
    this.scheduleTick(entry, this.entryTimer, () =>
      this.sendToEntry({kind: 'tick'}),
    );
  }

  sendToGate(event: gateContract.GateEvent): void {
    if (this.isPaused) return this.afterPause(() => this.sendToGate(event));
    const gate = this.cores?.gate;
    if (gate === undefined) return;
    for (const action of this.handle(gate, event)) this.onGateAction(action);
    this.scheduleTick(gate, this.gateTimer, () =>
      this.sendToGate({kind: 'tick'}),
    );
  }

  onLinkMessage(
    link: virtualServiceNetwork.Link,
    message: virtualServiceNetwork.LinkMessage,
  ): void {
    switch (message.kind) {
      case 'request':
        this.inboundLinks.set(link.id, link);
        return this.sendToGate({
          kind: 'call',
          source: {kind: 'link', linkId: link.id, nodeId: link.from.nodeId},
          call: message.call,
        });
      case 'cancel':
        return this.sendToGate({kind: 'cancel', callId: message.callId});
      case 'answer':
        return this.onAnswer(link.to.nodeId, message.answer);
      case 'refusal':
        return this.onRefusal(link.to.nodeId, message.refusal);
      default:
        return invariants.assertNever(message);
    }
  }

  onLinkFailed(
    link: virtualServiceNetwork.Link,
    callId: string,
    sent: boolean,
  ): void {
    this.sendToEntry({
      kind: 'link-failed',
      nodeId: link.to.nodeId,
      callId,
      sent,
      refused: !sent,
    });
  }

  onLinkSilent(link: virtualServiceNetwork.Link, callId: string): void {
    this.sendToEntry({kind: 'link-silent', nodeId: link.to.nodeId, callId});
  }

  onSourceLost(linkId: number): void {
    if (this.inboundLinks.delete(linkId)) {
      this.sendToGate({kind: 'source-lost', linkId});
    }
  }

  /** Handles a load notice from a sibling. */
  onLoadNotice(nodeId: string, load: peer.LoadReport): void {
    this.sendToGate({kind: 'sibling-load', nodeId, load});
    this.sendToEntry({kind: 'load', nodeId, load});
  }

  /** Kills the backend server; the node notices it by the broken connections. */
  crashServer(cause?: peer.CallRequest): void {
    if (!this.server!.isUp) return;
    this.server!.crash();
    this.fleet.clock.after(SERVER_LOSS_DETECTION_MS, () =>
      this.sendToGate({kind: 'server-lost'}),
    );
    this.fleet.onServerDeath(this, cause);
  }

  private onAnswer(nodeId: string, answer: peer.CallAnswer): void {
    this.sendToEntry({kind: 'answer', nodeId, answer});
  }

  private onRefusal(nodeId: string, refusal: peer.CallRefusal): void {
    this.sendToEntry({kind: 'refusal', nodeId, refusal});
  }

  private handle<E, A>(target: core.Core<E, A>, event: E): readonly A[] {
    try {
      return target.handle(event, this.fleet.clock.instant);
    } catch (err) {
      this.fleet.onCoreError(this, err);
      return [];
    }
  }

  private scheduleTick<E, A>(
    target: core.Core<E, A>,
    timer: TickTimer,
    tick: () => void,
  ): void {
    const wakeMs = target.nextWakeMs();
    if (wakeMs === undefined) return;
    const atMs = Math.max(wakeMs, this.fleet.clock.nowMs + MIN_TICK_DELAY_MS);
    if (timer.atMs !== undefined && timer.atMs <= atMs) return;
    timer.atMs = atMs;
    this.fleet.clock.at(atMs, () => {
      if (timer.atMs !== atMs) return;
      timer.atMs = undefined;
      tick();
    });
  }

  private onEntryAction(action: entryContract.EntryAction): void {
    switch (action.kind) {
      case 'dispatch':
        return this.dispatch(action.nodeId, action.call);
      case 'cancel':
        return this.cancel(action.nodeId, action.callId);
      case 'respond':
      case 'refuse': {
        const onFinal = this.pendingRequests.get(action.requestId);
        this.pendingRequests.delete(action.requestId);
        onFinal?.(action);
        return;
      }
      default:
        return invariants.assertNever(action);
    }
  }

  private dispatch(nodeId: string, call: peer.CallRequest): void {
    this.fleet.onDispatch(this, call);
    if (nodeId === this.nodeId) {
      this.defer(() =>
        this.sendToGate({kind: 'call', source: OWN_ENTRY, call}),
      );
      return;
    }
    this.fleet.network.sendCall(this, this.fleet.node(nodeId)!, call);
  }

  private cancel(nodeId: string, callId: string): void {
    if (nodeId === this.nodeId) {
      this.defer(() => this.sendToGate({kind: 'cancel', callId}));
      return;
    }
    this.fleet.network.sendCancel(this, this.fleet.node(nodeId)!, callId);
  }

  private onGateAction(action: gateContract.GateAction): void {
    switch (action.kind) {
      case 'run':
        return this.startRun(action);
      case 'abort':
        return this.runner!.abort(action.callId, action.run);
      case 'answer':
        return this.sendBack(action.source, {
          kind: 'answer',
          answer: {
            ...action.answer,
            load: this.toReportedLoad(action.answer.load),
          },
        });
      case 'refuse':
        return this.sendBack(action.source, {
          kind: 'refusal',
          refusal: {
            ...action.refusal,
            load: this.toReportedLoad(action.refusal.load),
          },
        });
      case 'tell-siblings':
        return this.sendLoadNotices(action.nodeIds, action.load);
      case 'report-suspect':
        return this.fleet.onSuspect(this, action.report);
      case 'drained':
        return this.fleet.onDrained(this);
      default:
        return invariants.assertNever(action);
    }
  }

  private startRun(action: virtualServiceRunner.RunAction): void {
    const mayExecute = this.server!.mayExecute;
    if (mayExecute) this.fleet.onRun(this, action.call);
    this.runner!.start(action);
    if (mayExecute && virtualServiceRunner.isCrashing(action.call)) {
      this.defer(() => this.crashServer(action.call));
    }
  }

  private sendBack(
    source: gateContract.CallSource,
    message: virtualServiceNetwork.LinkMessage,
  ): void {
    switch (source.kind) {
      case 'own-entry':
        this.defer(() => this.onLocalResult(message));
        return;
      case 'link': {
        const link = this.inboundLinks.get(source.linkId);
        if (link !== undefined) this.fleet.network.sendBack(link, message);
        return;
      }
      default:
        return invariants.assertNever(source);
    }
  }

  private onLocalResult(message: virtualServiceNetwork.LinkMessage): void {
    if (message.kind === 'answer') {
      this.sendToEntry({
        kind: 'answer',
        nodeId: this.nodeId,
        answer: message.answer,
      });
    }
    if (message.kind === 'refusal') {
      this.sendToEntry({
        kind: 'refusal',
        nodeId: this.nodeId,
        refusal: message.refusal,
      });
    }
  }

  private sendLoadNotices(
    nodeIds: readonly string[],
    load: peer.LoadReport,
  ): void {
    const report = this.toReportedLoad(load)!;
    const datagram: peer.Datagram = {
      nodeId: this.nodeId,
      incarnation: this.member.incarnation,
      configurationRevision: this.view.configuration.revision,
      rosterOffset: this.view.rosterOffset,
      logAgeMs: 0,
      body: {$case: 'load', value: {load: report}},
      updates: [],
      suspects: [],
      members: [],
      sender: undefined,
    };
    for (const nodeId of nodeIds) {
      this.fleet.onDatagramSent(datagram);
      const to = this.fleet.node(nodeId)!;
      this.fleet.network.sendDatagram(this, to, () =>
        to.onLoadNotice(this.nodeId, report),
      );
    }
  }

  private toReportedLoad(
    load: peer.LoadReport | undefined,
  ): peer.LoadReport | undefined {
    if (load === undefined || !this.reportsNoLoad) return load;
    return {...load, inFlight: 0, queued: 0, latencyUs: 1, cold: false};
  }

  private afterPause(task: () => void): void {
    const generation = this.generation;
    this.fleet.clock.at(this.pausedUntilMs, () => {
      if (generation === this.generation) task();
    });
  }

  private defer(task: () => void): void {
    const generation = this.generation;
    this.fleet.clock.after(0, () => {
      if (this.isUp && generation === this.generation) task();
    });
  }
}
