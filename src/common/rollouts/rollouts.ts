/** The roll-outs that a node takes part in: as entry, as gate and as the node that decides. */
import * as serving from '../../generated/serving.js';
import * as randomSource from '../random_source.js';
import * as decision from '../serving/decision.js';
import * as units from '../units.js';
import * as exposure from './exposure.js';
import * as gateTally from './gate_tally.js';
import * as rolloutModule from './rollout.js';
import * as rolloutPhase from './rollout_phase.js';
import * as rolloutOrders from './rollout_orders.js';

/** Bounds of roll-outs. */
export interface RolloutBounds extends exposure.ExposureBounds {
  /** Time without news of other nodes after which a gate of an unproven version starts nothing. */
  readonly rollbackMs: units.Millis;
}

/** What a roll-out decides at an entry. */
export type EntryRollouts = Pick<Rollouts, 'drawsTarget' | 'select'>;

/** State of the gate beside this node, for reports. */
export interface GateState {
  readonly running: number;
  readonly waiting: number;
  readonly limit: number;
  readonly isOpen: boolean;
}

/** Returns the state of a gate with this load. */
export function gateStateOf(load: serving.Load): GateState {
  const {running, waiting, limit, closure} = load;
  return {running, waiting, limit, isOpen: closure === serving.Closure.OPEN};
}

/** Dependencies of `Rollouts`. */
export interface RolloutsOptions {
  readonly orders: rolloutOrders.RolloutOrders;
  readonly bounds: RolloutBounds;
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly processStartedMs: units.EpochMs;
  readonly random: randomSource.RandomSource;
  readonly log: decision.DecisionLog;
  service(): string;
  /** Version of the backend server, undefined until it has announced itself. */
  version(): string | undefined;
  gate(): GateState;
  authority(): rolloutModule.Authority;
  knownGates(service: string): readonly string[];
  linkedGates(service: string): readonly string[];
  /** Called when other nodes have to be told at once. */
  onChanged(): void;
}

/** Tracks the roll-outs in force. Without an order nothing is closed, limited or reported. */
export class Rollouts {
  private readonly rollouts = new Map<string, rolloutModule.Rollout>();
  /** Versions that were rolled back, by service; closed until an order names them again. */
  private readonly rolledBack = new Map<string, Set<string>>();
  private tally: gateTally.GateTally | undefined;
  private heardMs: units.MonotonicMs = -Infinity;

  constructor(private readonly options: RolloutsOptions) {}

  /** Roll-outs whose order is in force. */
  get inForce(): readonly rolloutModule.Rollout[] {
    return [...this.rollouts.values()];
  }

  /** Whether a roll-out of the service beside this node has not ended. */
  get isActive(): boolean {
    const rollout = this.rollouts.get(this.options.service());
    return rollout !== undefined && !rollout.isEnded;
  }

  /** Applies a change of the orders. */
  onOrders(now: units.MonotonicMs): void {
    const {orders} = this.options;
    for (const service of [...this.rollouts.keys()]) {
      if (orders.of(service) === undefined) this.remove(service);
    }
    for (const order of orders.inForce) {
      const known = this.rollouts.get(order.service);
      if (known && rolloutOrders.isSameOrder(known.order, order)) {
        known.updateOrder(order);
        continue;
      }
      if (known) this.remove(order.service);
      this.rolledBack.get(order.service)?.delete(order.targetVersion);
      const rollout = new rolloutModule.Rollout(this.options, order, now);
      this.rollouts.set(order.service, rollout);
      if (order.service === this.options.service()) this.tally = undefined;
      this.heardMs = now;
      this.note('rollout-ordered', rollout, {
        durationMs: order.durationMs,
        leftMs: Math.round(order.deadlineMs - now),
      });
    }
  }

  /** Handles what a peer reports. */
  onReport(
    nodeId: string,
    report: serving.RolloutReport,
    now: units.MonotonicMs,
  ): void {
    const rollout = this.rollouts.get(report.service);
    const {era, offset, targetVersion} = report;
    const position = {era, offset};
    if (
      rollout === undefined ||
      !rolloutOrders.isSameOrder(rollout.order, {targetVersion, position})
    ) {
      return;
    }
    this.heardMs = now;
    this.adopt(rollout, report.phase, report.sharePermille, nodeId);
    if (report.gate) {
      rollout.evidence.onReport(nodeId, report.phase, report.gate, now);
    }
    if (report.service === this.options.service()) this.take(report.grants);
  }

  /** Takes the state that the store has for a roll-out. */
  onStatus(service: string, phase: serving.RolloutPhase, source: string): void {
    const rollout = this.rollouts.get(service);
    if (rollout) this.adopt(rollout, phase, 0, source);
  }

  /** Runs the evaluations that are due. */
  tick(now: units.MonotonicMs): void {
    if (this.rollouts.size === 0) return;
    const authority = this.options.authority();
    if (authority.decides) this.heardMs = now;
    for (const rollout of this.rollouts.values()) {
      const order = this.options.orders.of(rollout.order.service);
      if (order) rollout.updateOrder(order);
      this.observeOwnGate(rollout, now);
      const {phase} = rollout;
      if (!rollout.tick(authority, now)) continue;
      if (rollout.order.service === this.options.service()) {
        this.take(rollout.grants);
      }
      if (rollout.phase !== phase) {
        this.notePhase(rollout, phase, this.options.nodeId);
      }
      this.options.onChanged();
    }
  }

  /** Returns what this node's pulses report; empty without an order. */
  reports(now: units.MonotonicMs): serving.RolloutReport[] {
    return this.inForce.map(rollout => {
      this.observeOwnGate(rollout, now);
      const {service, targetVersion, position} = rollout.order;
      return {
        service,
        targetVersion,
        ...position,
        phase: rollout.phase,
        sharePermille: rollout.sharePermille,
        gate:
          service === this.options.service() ? this.ownEvidence() : undefined,
        grants: [...rollout.grants],
      };
    });
  }

  /** Draws whether a new request of a service is for the target version. */
  drawsTarget(service: string): boolean {
    const rollout = this.rollouts.get(service);
    if (rollout === undefined || rollout.isEnded) return false;
    return this.options.random.next() * 1_000 < rollout.sharePermille;
  }

  /**
   * Returns the gates that a request may be sent to: those of the group that was drawn for it, or
   * of the other group if that has none.
   */
  select<T>(
    service: string,
    drewTarget: boolean,
    gates: readonly T[],
    nodeIdOf: (gate: T) => string,
  ): readonly T[] {
    const rollout = this.rollouts.get(service);
    if (rollout === undefined || rollout.isEnded || gates.length === 0) {
      return gates;
    }
    const isTarget = this.targetsWithRoom(rollout);
    const target = gates.filter(g => isTarget.get(nodeIdOf(g)) === true);
    const others = gates.filter(g => !isTarget.has(nodeIdOf(g)));
    if (drewTarget) return target.length > 0 ? target : others;
    return others.length > 0 ? others : target;
  }

  /** Whether the gate beside this node is closed by a roll-out. */
  get isGateClosed(): boolean {
    const service = this.options.service();
    const rolledBack = this.rolledBack.get(service);
    const rollout = this.rollouts.get(service);
    if (rollout === undefined && rolledBack === undefined) return false;
    const version = this.options.version();
    // Until the version is known the server may be one of either group.
    if (version === undefined) return rollout !== undefined;
    if (rolledBack?.has(version)) return true;
    if (rollout === undefined) return false;
    return version === rollout.order.targetVersion
      ? rollout.isTargetClosed
      : rollout.areOthersClosed;
  }

  /** Whether the gate beside this node may start another request. */
  mayStart(now: units.MonotonicMs): boolean {
    const rollout = this.rollouts.get(this.options.service());
    if (rollout === undefined) return true;
    if (this.options.version() !== rollout.order.targetVersion) {
      return true;
    }
    if (rollout.phase !== serving.RolloutPhase.CANARY) return true;
    if (rollout.isOnlyVersion) return true;
    if (now - this.heardMs > this.options.bounds.rollbackMs) return false;
    const {started, granted} = this.ownTally();
    return started < granted;
  }

  /** Counts a request that the gate starts. */
  onStarted(running: number, limit: number): void {
    if (this.isOwnOrdered) this.ownTally().onStarted(running, limit);
  }

  /** Counts the end of a run. */
  onEnded(result: gateTally.RunResult): void {
    if (this.isOwnOrdered) this.ownTally().onEnded(result);
  }

  private get isOwnOrdered(): boolean {
    return this.rollouts.has(this.options.service());
  }

  private ownTally(): gateTally.GateTally {
    const version = this.options.version();
    if (this.tally === undefined || this.tally.version !== version) {
      this.tally = new gateTally.GateTally(version);
    }
    return this.tally;
  }

  private ownEvidence(): serving.GateEvidence {
    const {processStartedMs, dataCentre} = this.options;
    return {
      version: this.options.version(),
      ...this.options.gate(),
      ...this.ownTally().counts(),
      processStartedMs,
      dataCentre,
    };
  }

  private observeOwnGate(
    rollout: rolloutModule.Rollout,
    now: units.MonotonicMs,
  ): void {
    const {service, nodeId} = this.options;
    if (rollout.order.service !== service()) return;
    const evidence = this.ownEvidence();
    rollout.evidence.onReport(nodeId, rollout.phase, evidence, now);
  }

  private take(grants: readonly serving.RolloutGrant[]): void {
    const {nodeId, processStartedMs} = this.options;
    const own = grants.find(
      grant =>
        grant.nodeId === nodeId && grant.processStartedMs === processStartedMs,
    );
    if (own) this.ownTally().grant(own.requests);
  }

  /** Gates of the target version, and whether they may start another request. */
  private targetsWithRoom(
    rollout: rolloutModule.Rollout,
  ): ReadonlyMap<string, boolean> {
    const isLimited =
      rollout.phase === serving.RolloutPhase.CANARY && !rollout.isOnlyVersion;
    return new Map(
      rollout.evidence.gates
        .filter(({evidence}) => rollout.evidence.isTarget(evidence))
        .map(({nodeId, evidence}) => [
          nodeId,
          !isLimited || evidence.started < evidence.granted,
        ]),
    );
  }

  private adopt(
    rollout: rolloutModule.Rollout,
    phase: serving.RolloutPhase,
    sharePermille: number,
    source: string,
  ): void {
    const before = rollout.phase;
    if (!rollout.adopt(phase, sharePermille)) return;
    this.notePhase(rollout, before, source);
    this.options.onChanged();
  }

  /** Ends a roll-out whose order was withdrawn or replaced. */
  private remove(service: string): void {
    const rollout = this.rollouts.get(service);
    if (rollout === undefined) return;
    this.rollouts.delete(service);
    const {phase, order} = rollout;
    if (rolloutPhase.isRollback(phase)) {
      const versions = this.rolledBack.get(service) ?? new Set();
      this.rolledBack.set(service, versions.add(order.targetVersion));
    }
    this.note('rollout-withdrawn', rollout, {});
  }

  private notePhase(
    rollout: rolloutModule.Rollout,
    before: serving.RolloutPhase,
    source: string,
  ): void {
    this.note('rollout-phase', rollout, {before, source});
  }

  private note(
    event: string,
    rollout: rolloutModule.Rollout,
    facts: decision.Facts,
  ): void {
    const {evidence, judge, order} = rollout;
    decision.noteStateChange(this.options.log, 'fleet', event, {
      service: order.service,
      targetVersion: order.targetVersion,
      ...order.position,
      phase: rollout.phase,
      sharePermille: rollout.sharePermille,
      requests: evidence.requests,
      exposed: evidence.exposed,
      answers: evidence.targetAnswers,
      failures: evidence.targetFailures,
      score: Number(judge.worst.toFixed(1)),
      worstRoute: judge.worstRoute,
      waitsFor: rollout.waitsFor,
      ...facts,
    });
  }
}
