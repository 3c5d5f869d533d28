/** Whether a gate takes new work at all: state of its server, its node and the configuration. */
import * as peer from '../../generated/peer.js';
import * as control from '../control/control_contract.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as gateOptions from './gate_options.js';

/** Interval at which a gate that takes work observes its view. */
const OBSERVE_INTERVAL_MS = 500;

/** Time without an observation that shows a pause of the process. */
const PAUSE_MS = 1_500;

/** Longest refusal of new work for the sake of a view that nobody confirms. */
const STALE_WAIT_MS = 5_000;

/** State of a gate as far as it concerns new work. */
export class Entrance {
  private server: control.ServerState = 'absent';
  private announcedSlots = 0;
  private stopping = false;
  private out = false;
  private observedMs: units.MonotonicMs | undefined;
  private wokeMs: units.MonotonicMs | undefined;
  private staleSinceMs: units.MonotonicMs | undefined;
  private staleAccepted = false;

  constructor(private readonly options: gateOptions.GateOptions) {}

  /** Slots that may be used: never above the configured nor the announced number. */
  get slots(): number {
    return Math.min(this.options.slots, this.announcedSlots);
  }

  /** Whether the node stops or the backend server leaves. */
  get isLeaving(): boolean {
    return this.stopping || this.server === 'leaving';
  }

  /** Whether the node has been asked to stop. */
  get isStopping(): boolean {
    return this.stopping;
  }

  /** Whether the backend server has announced itself and is not ready yet. */
  get isStarting(): boolean {
    return this.server === 'starting';
  }

  /**
   * Takes note of an announcement; 0 slots stands for the configured number.
   *
   * @returns whether a life of the backend server, or its readiness, begins.
   */
  setServer(state: control.ServerState, slots: number): 'begins' | 'goes-on' {
    const before = this.server;
    this.server = state;
    this.announcedSlots = slots > 0 ? slots : this.options.slots;
    const takesWork = state === 'starting' || state === 'ready';
    return takesWork && state !== before ? 'begins' : 'goes-on';
  }

  /** Whether the data centre or the backend server was out when last asked and is not now. */
  hasReturned(): boolean {
    const wasOut = this.out;
    const reason = this.outReason();
    this.out = reason !== undefined;
    return wasOut && !this.out;
  }

  /** Refuses all new work from now on. */
  stop(): void {
    this.stopping = true;
  }

  /**
   * Takes note of the time and of the view. After a pause the view is stale until a confirmation
   * made since. A view that cannot be confirmed for long goes on as it is, or an outage of the
   * log and of all peers would stop every gate that was paused.
   */
  observe(now: units.MonotonicMs): void {
    if (now - (this.observedMs ?? now) >= PAUSE_MS) this.wokeMs = now;
    this.observedMs = now;
    if (!this.isUnconfirmed(now)) {
      this.wokeMs = undefined;
      this.staleSinceMs = undefined;
      return;
    }
    this.staleSinceMs ??= now;
    const isOver = now - this.staleSinceMs >= STALE_WAIT_MS;
    if (isOver && !this.staleAccepted) {
      this.options.counters.increment('gate.stale-accepted');
    }
    this.staleAccepted = isOver;
  }

  /** Time at which to observe again, undefined while no work is taken anyway. */
  get nextObserveMs(): units.MonotonicMs | undefined {
    if (this.stopping || this.server === 'absent') return undefined;
    return (this.observedMs ?? 0) + OBSERVE_INTERVAL_MS;
  }

  /** Returns why no new work may be dispatched, undefined if it may. */
  refusalReason(): peer.RefusalReason | undefined {
    if (this.stopping) return peer.RefusalReason.LEAVING;
    if (this.staleSinceMs !== undefined && !this.staleAccepted) {
      return peer.RefusalReason.NOT_READY;
    }
    if (!this.options.view.configuration) return peer.RefusalReason.NOT_READY;
    return this.outReason() ?? this.serverRefusal();
  }

  private isUnconfirmed(now: units.MonotonicMs): boolean {
    const {view} = this.options;
    if (view.stale) return true;
    const confirmedMs = now - view.rosterConfirmedAgeMs(now);
    return this.wokeMs !== undefined && confirmedMs < this.wokeMs;
  }

  private outReason(): peer.RefusalReason | undefined {
    const cfg = this.options.view.configuration;
    if (!cfg) return undefined;
    if (cfg.isDataCentreOut(this.options.dataCentre)) {
      return peer.RefusalReason.DATA_CENTRE_OUT;
    }
    if (cfg.isServerOut(this.options.nodeId)) {
      return peer.RefusalReason.SERVER_OUT;
    }
    return undefined;
  }

  private serverRefusal(): peer.RefusalReason | undefined {
    switch (this.server) {
      case 'absent':
        return peer.RefusalReason.SERVER_ABSENT;
      case 'leaving':
        return peer.RefusalReason.LEAVING;
      case 'starting':
      case 'ready':
        return undefined;
      default:
        return invariants.assertNever(this.server);
    }
  }
}
