/** Single-threaded event loop: passes events to the cores in order and runs their actions. */
import * as most from 'most';

import * as controlContract from '../common/control/control_contract.js';
import * as fleetView from '../common/control/fleet_view.js';
import * as counters from '../common/counters.js';
import * as entryContract from '../common/entry/entry_contract.js';
import * as gateContract from '../common/gate/gate_contract.js';
import * as invariants from '../common/invariants.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as clock from './clock.js';
import * as controlActions from './control_actions.js';
import * as coreInputs from './core_inputs.js';
import * as entryActions from './entry_actions.js';
import * as gateActions from './gate_actions.js';
import * as linkEvent from './link_event.js';
import * as logger from './logger.js';
import * as nodeEvent from './node_event.js';
import * as peerLinks from './peer_links.js';
import * as serverState from './server_state.js';

/** Longest time between two ticks. */
const MAX_TICK_INTERVAL_MS: units.Millis = 250;

/** Shortest time between a tick that failed, as it may do each time, and the next one. */
const FAILED_TICK_PAUSE_MS: units.Millis = 50;

/** Components connected by the event loop. */
export interface EventLoopParts {
  readonly cores: coreInputs.NodeCores;
  readonly view: Pick<fleetView.FleetView, 'configuration' | 'rosterOffset'>;
  readonly links: Pick<peerLinks.PeerLinks, 'nextWakeMs' | 'reply' | 'tick'>;
  readonly server: Pick<serverState.ServerState, 'onAnnouncement' | 'onLost'>;
  readonly entryActions: Pick<entryActions.EntryActions, 'run'>;
  readonly gateActions: Pick<gateActions.GateActions, 'run'>;
  readonly controlActions: Pick<controlActions.ControlActions, 'run'>;
  readonly count: counters.Counters;
  readonly log: logger.Logger;
}

/** Passes events to the cores and runs the actions they return at once. */
export class EventLoop implements coreInputs.CoreInputs, Disposable {
  private queue: nodeEvent.NodeEvent[] = [];
  private now: units.Instant = clock.now();
  private processing = false;
  private timer: NodeJS.Timeout | undefined;
  private timerDueMs = Infinity;
  /** Time before which no tick is due. */
  private nextTickMs: units.MonotonicMs = -Infinity;
  private stopped = false;

  constructor(private readonly parts: EventLoopParts) {}

  /** Processes the events of a stream until it ends. */
  observe(events: most.Stream<nodeEvent.NodeEvent>): void {
    void events.observe(event => this.enqueue(event));
    this.scheduleTick();
  }

  /** Processes an event; one emitted while another is handled is queued until that is done. */
  enqueue(event: nodeEvent.NodeEvent): void {
    this.queue.push(event);
    if (this.processing || this.stopped) return;
    this.processing = true;
    this.now = clock.now();
    while (this.queue.length > 0) {
      const batch = this.queue;
      this.queue = [];
      for (const next of batch) this.handleSafely(next);
    }
    this.processing = false;
    this.scheduleTick();
  }

  toEntry(event: entryContract.EntryEvent): void {
    const actions = this.parts.cores.entry.handle(event, this.now);
    runAll(actions, action => this.parts.entryActions.run(action, this));
  }

  toGate(event: gateContract.GateEvent): void {
    const actions = this.parts.cores.gate.handle(event, this.now);
    runAll(actions, action => this.parts.gateActions.run(action, this));
  }

  toControl(event: controlContract.ControlEvent): void {
    const actions = this.parts.cores.control.handle(event, this.now);
    runAll(actions, action => this.parts.controlActions.run(action, this));
  }

  [Symbol.dispose](): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  /** Handles an event; an error fails at most the event's request, never the process. */
  private handleSafely(event: nodeEvent.NodeEvent): void {
    try {
      this.handle(event);
    } catch (err) {
      this.noteFailed(event, err);
      this.refuseAfterError(event);
    }
  }

  private noteFailed(event: nodeEvent.NodeEvent, err: unknown): void {
    this.parts.count.increment('loop.failed-event');
    this.parts.log.error(`event ${event.kind}: ${errorText(err)}`);
    if (event.kind !== 'tick') return;
    this.nextTickMs = this.now.monotonicMs + FAILED_TICK_PAUSE_MS;
  }

  private handle(event: nodeEvent.NodeEvent): void {
    switch (event.kind) {
      case 'caller-request':
        return this.toEntry({kind: 'request', request: event.request});
      case 'caller-gone':
        return this.toEntry(event);
      case 'announced':
        return this.parts.server.onAnnouncement(event.announcement, this);
      case 'link-answer':
        return this.handleAnswer(event);
      case 'link-refusal':
        return this.handleRefusal(event);
      case 'link-failed':
      case 'link-silent':
        return this.toEntry(event);
      case 'link-call':
        return this.handleCall(event);
      case 'link-cancel':
        return this.toGate({kind: 'cancel', callId: event.callId});
      case 'link-lost':
        return this.toGate({kind: 'source-lost', linkId: event.linkId});
      case 'server-lost':
        return this.parts.server.onLost(this);
      case 'server-answered':
      case 'server-failed':
        return this.toGate(event);
      case 'datagram':
      case 'log-read':
      case 'log-read-failed':
      case 'appended':
      case 'append-failed':
      case 'peer-state':
      case 'peer-state-failed':
        return this.toControl(event);
      case 'tick':
        return this.handleTick();
      case 'stop':
        this.toControl(event);
        return this.toGate(event);
      default:
        return invariants.assertNever(event);
    }
  }

  private handleAnswer(
    event: Extract<linkEvent.LinkEvent, {readonly kind: 'link-answer'}>,
  ): void {
    const {nodeId, answer} = event;
    this.reportNewerVersions(nodeId, answer.configurationRevision, 0);
    this.toEntry({kind: 'answer', nodeId, answer});
  }

  private handleRefusal(
    event: Extract<linkEvent.LinkEvent, {readonly kind: 'link-refusal'}>,
  ): void {
    const {nodeId, refusal} = event;
    this.reportNewerVersions(nodeId, refusal.configurationRevision, 0);
    this.toEntry({kind: 'refusal', nodeId, refusal});
  }

  private handleCall(
    event: Extract<linkEvent.LinkEvent, {readonly kind: 'link-call'}>,
  ): void {
    const {linkId, nodeId, call} = event;
    this.reportNewerVersions(
      nodeId,
      call.configurationRevision,
      call.rosterOffset,
    );
    this.toGate({kind: 'call', source: {kind: 'link', linkId, nodeId}, call});
  }

  private handleTick(): void {
    // Whatever fails in one part, the timeouts of the others go on.
    const steps = [
      () => this.parts.links.tick(this.now.monotonicMs),
      () => this.toControl({kind: 'tick'}),
      () => this.toGate({kind: 'tick'}),
      () => this.toEntry({kind: 'tick'}),
    ];
    runAll(steps, step => step());
  }

  /** Notifies the control core if a peer has a newer configuration or roster than this node. */
  private reportNewerVersions(
    nodeId: string,
    configurationRevision: number,
    rosterOffset: number,
  ): void {
    const {view} = this.parts;
    const isBehind =
      configurationRevision > (view.configuration?.revision ?? 0) ||
      rosterOffset > view.rosterOffset;
    if (!isBehind) return;
    this.toControl({
      kind: 'versions-seen',
      nodeId,
      configurationRevision,
      rosterOffset,
    });
  }

  private refuseAfterError(event: nodeEvent.NodeEvent): void {
    const refusal = {
      reason: peer.RefusalReason.INTERNAL,
      outcome: peer.Outcome.UNKNOWN,
    };
    if (event.kind === 'link-call') {
      const {callId} = event.call;
      const value = peer.CallRefusal.fromPartial({callId, ...refusal});
      this.parts.links.reply(event.linkId, {body: {$case: 'refusal', value}});
    } else if (event.kind === 'caller-request') {
      const {requestId} = event.request;
      const value = peer.CallRefusal.fromPartial({
        callId: requestId,
        ...refusal,
      });
      this.parts.entryActions.run(
        {kind: 'refuse', requestId, refusal: value, attempts: 0},
        this,
      );
    }
  }

  /** Schedules the next tick for the earliest wake time of the cores and links. */
  private scheduleTick(): void {
    if (this.stopped) return;
    const {cores, links} = this.parts;
    const nowMs = clock.monotonicMs();
    const wakeMs = Math.min(
      nowMs + MAX_TICK_INTERVAL_MS,
      links.nextWakeMs(),
      cores.entry.nextWakeMs() ?? Infinity,
      cores.gate.nextWakeMs() ?? Infinity,
      cores.control.nextWakeMs() ?? Infinity,
    );
    const dueMs = Math.max(wakeMs, this.nextTickMs);
    if (dueMs >= this.timerDueMs) return;
    clearTimeout(this.timer);
    this.timerDueMs = dueMs;
    this.timer = setTimeout(
      () => this.onTimer(),
      Math.max(1, Math.ceil(dueMs - nowMs)),
    );
  }

  private onTimer(): void {
    this.timerDueMs = Infinity;
    this.parts.count.increment('loop.ticks');
    this.enqueue({kind: 'tick'});
  }
}

/** Runs all actions, then throws the first error of them, if any. */
function runAll<A>(actions: readonly A[], run: (action: A) => void): void {
  const failures: unknown[] = [];
  for (const action of actions) {
    try {
      run(action);
    } catch (err) {
      failures.push(err);
    }
  }
  if (failures.length > 0) throw failures[0];
}

function errorText(err: unknown): string {
  return err instanceof Error ? (err.stack ?? err.message) : String(err);
}
