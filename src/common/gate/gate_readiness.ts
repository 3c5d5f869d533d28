/** Decides whether a gate accepts new work, by the state of its server, node and configuration. */
import * as peer from '../../generated/peer.js';
import * as controlContract from '../control/control_contract.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as gateOptions from './gate_options.js';

/** Interval at which a gate that accepts work checks its view of the fleet. */
const OBSERVE_INTERVAL_MS = 500;

/** Time between two checks from which the process counts as having been paused. */
const MIN_PAUSE_MS = 1_500;

/** Maximum time for which new work is refused because the view cannot be confirmed. */
const MAX_STALE_WAIT_MS = 5_000;

/** State of a gate that decides whether it accepts new work. */
export class GateReadiness {
  private serverState: controlContract.ServerState = 'absent';
  private announcedSlots = 0;
  private stopping = false;
  private isOut = false;
  private observedMs: units.MonotonicMs | undefined;
  private resumedMs: units.MonotonicMs | undefined;
  private staleSinceMs: units.MonotonicMs | undefined;
  private staleAccepted = false;

  constructor(private readonly options: gateOptions.GateOptions) {}

  /** Usable slots: the smaller of the configured and the announced number. */
  get slots(): number {
    return Math.min(this.options.slots, this.announcedSlots);
  }

  /** Whether the node is stopping or the backend server is leaving. */
  get isLeaving(): boolean {
    return this.stopping || this.serverState === 'leaving';
  }

  /** Whether the node has been asked to stop. */
  get isStopping(): boolean {
    return this.stopping;
  }

  /** Whether the backend server has announced itself but is not ready yet. */
  get isStarting(): boolean {
    return this.serverState === 'starting';
  }

  /**
   * Sets the state announced by the backend server; 0 slots means the configured number.
   *
   * @returns `started` if the server has just entered `starting` or `ready`.
   */
  setServerState(
    state: controlContract.ServerState,
    slots: number,
  ): 'started' | 'continues' {
    const before = this.serverState;
    this.serverState = state;
    this.announcedSlots = slots > 0 ? slots : this.options.slots;
    const takesWork = state === 'starting' || state === 'ready';
    return takesWork && state !== before ? 'started' : 'continues';
  }

  /** Whether the data centre or the backend server was out at the last call and no longer is. */
  detectReturn(): boolean {
    const wasOut = this.isOut;
    const reason = this.outReason();
    this.isOut = reason !== undefined;
    return wasOut && !this.isOut;
  }

  /** Refuses all new work from now on. */
  stop(): void {
    this.stopping = true;
  }

  /**
   * Checks for a pause of the process and for a stale view. After a pause the view is stale until
   * it has been confirmed again. A view that stays unconfirmed for `MAX_STALE_WAIT_MS` is used
   * unconfirmed: otherwise an outage of the log and of all peers would stop every paused gate.
   */
  observe(now: units.MonotonicMs): void {
    if (now - (this.observedMs ?? now) >= MIN_PAUSE_MS) this.resumedMs = now;
    this.observedMs = now;
    if (!this.isUnconfirmed(now)) {
      this.resumedMs = undefined;
      this.staleSinceMs = undefined;
      return;
    }
    this.staleSinceMs ??= now;
    const isOver = now - this.staleSinceMs >= MAX_STALE_WAIT_MS;
    if (isOver && !this.staleAccepted) {
      this.options.counters.increment('gate.stale-accepted');
    }
    this.staleAccepted = isOver;
  }

  /** Time of the next check, undefined while no work is accepted anyway. */
  get nextObserveMs(): units.MonotonicMs | undefined {
    if (this.stopping || this.serverState === 'absent') return undefined;
    return (this.observedMs ?? 0) + OBSERVE_INTERVAL_MS;
  }

  /** Returns why no new work may be dispatched, undefined if it may be. */
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
    return this.resumedMs !== undefined && confirmedMs < this.resumedMs;
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
    switch (this.serverState) {
      case 'absent':
        return peer.RefusalReason.SERVER_ABSENT;
      case 'leaving':
        return peer.RefusalReason.LEAVING;
      case 'starting':
      case 'ready':
        return undefined;
      default:
        return invariants.assertNever(this.serverState);
    }
  }
}
