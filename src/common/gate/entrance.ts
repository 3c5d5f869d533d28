/** Whether a gate takes new work at all: state of its server, its node and the configuration. */
import * as peer from '../../generated/peer.js';
import * as control from '../control/control_contract.js';
import * as invariants from '../invariants.js';
import * as gateOptions from './gate_options.js';

/** State of a gate as far as it concerns new work. */
export class Entrance {
  private server: control.ServerState = 'absent';
  private announcedSlots = 0;
  private stopping = false;
  private out = false;

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

  /** Returns why no new work may be dispatched, undefined if it may. */
  refusalReason(): peer.RefusalReason | undefined {
    if (this.stopping) return peer.RefusalReason.LEAVING;
    if (!this.options.view.configuration) return peer.RefusalReason.NOT_READY;
    return this.outReason() ?? this.serverRefusal();
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
