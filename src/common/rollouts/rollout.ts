/** State of one roll-out at a node: phase, evidence and, at one node, the decisions. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as exposure from './exposure.js';
import * as fleetEvidence from './fleet_evidence.js';
import * as judge from './judge.js';
import * as rolloutPhase from './rollout_phase.js';
import * as rolloutOrders from './rollout_orders.js';

/** Interval of evaluations. */
const WINDOW_MS: units.Millis = 1_000;

/** Answers and loaded runs of the target version that a good verdict needs before the last time. */
const MIN_ANSWERS = 100;
const MIN_LOADED = 20;

/** Answers from which the latest time for a verdict holds. */
const FEW_ANSWERS = 50;

/** Times of the verdict, as shares of the time to the deadline. */
const EARLIEST_SHARE = 0.55;
const LATEST_SHARE = 0.65;
const LATEST_WITH_FEW_SHARE = 0.75;
const GIVE_UP_SHARE = 0.9;

/** Observation that is long enough for a good verdict, however late the deadline is. */
const LONGEST_OBSERVATION_MS: units.Millis = 20_000;

/** Scores above which a version is bad at the latest time for a verdict. */
const LATEST_BAD_SCORE = 4;

/** Time before the deadline at which the other versions' gates close. */
const CLOSING_RESERVE_MS: units.Millis = 6_000;
const CLOSING_RESERVE_SHARE = 0.2;

/** Bad answers at which gates of the target version close without a verdict. */
const MAX_BAD_ANSWERS = 50;

/** Factor by which the failure share must exceed that of the other versions to count as bad. */
const BAD_SHARE_FACTOR = 2;

/** Time for which a gate must be silent until it no longer delays the end. */
const SILENT_GATE_MS: units.Millis = 10_000;

/** Time from the order until the reports of all reachable gates are expected. */
const REPORTS_EXPECTED_MS: units.Millis = 2_000;

/** Delay of an evaluation from which the process counts as paused; it decides nothing then. */
const PAUSED_MS: units.Millis = 1_000;

/** Windows after a pause in which nothing is decided, so that news of other nodes is read first. */
const HELD_WINDOWS = 2;

/** Age of reports that count as fresh, and their share without which nothing final is decided. */
const FRESH_REPORT_MS: units.Millis = 5_000;
const MIN_FRESH_SHARE = 0.5;

/** Shares of requests that entries try to send to the target version, in thousandths. */
const CANARY_PERMILLE = 250;
const ALL_PERMILLE = 1_000;
const MOVING_STEP_PERMILLE = 150;

/** Utilisation of the target version's gates above which its share does not rise. */
const MOVING_MAX_UTILISATION = 0.9;

/** Who decides, from the view of a node. */
export interface Authority {
  /** Whether this node decides. */
  readonly decides: boolean;
  /** Whether it reads the store; without the store it only closes a bad version. */
  readonly readsStore: boolean;
}

/** Dependencies of `Rollout`. */
export interface RolloutOptions {
  readonly bounds: exposure.ExposureBounds;
  /** Ids of all nodes of the service that are known, and of those with a link. */
  knownGates(service: string): readonly string[];
  linkedGates(service: string): readonly string[];
}

/** A roll-out as one node knows it. */
export class Rollout {
  readonly evidence: fleetEvidence.FleetEvidence;
  readonly judge = new judge.Judge();
  private currentPhase = serving.RolloutPhase.CANARY;
  private share = 0;
  private currentGrants: readonly serving.RolloutGrant[] = [];
  private windows = 0;
  private nextWindowMs: units.MonotonicMs;
  private heldWindows = 0;
  /** Why the phase has not ended. */
  waitsFor = '';

  constructor(
    private readonly options: RolloutOptions,
    private current: rolloutOrders.OrderInForce,
    now: units.MonotonicMs,
  ) {
    this.evidence = new fleetEvidence.FleetEvidence(current.targetVersion);
    this.nextWindowMs = now + WINDOW_MS;
  }

  get order(): rolloutOrders.OrderInForce {
    return this.current;
  }

  /** Takes a new position or deadline of the same order. */
  updateOrder(order: rolloutOrders.OrderInForce): void {
    this.current = order;
  }

  get phase(): serving.RolloutPhase {
    return this.currentPhase;
  }

  /** Share of requests that entries try to send to the target version, in thousandths. */
  get sharePermille(): number {
    return this.share;
  }

  /** Grants that this node has decided. */
  get grants(): readonly serving.RolloutGrant[] {
    return this.currentGrants;
  }

  get isEnded(): boolean {
    const {currentPhase} = this;
    return (
      rolloutPhase.isRollback(currentPhase) ||
      currentPhase === serving.RolloutPhase.DONE
    );
  }

  /** Whether the gates of the target version are closed. */
  get isTargetClosed(): boolean {
    const {currentPhase} = this;
    if (rolloutPhase.isRollback(currentPhase)) return true;
    return currentPhase === serving.RolloutPhase.CANARY && this.hasManyFailures;
  }

  /** Whether the gates of all other versions are closed. */
  get areOthersClosed(): boolean {
    return rolloutPhase.isMoved(this.currentPhase);
  }

  /** Whether every known gate of the service has reported the target version. */
  get isOnlyVersion(): boolean {
    const {service} = this.current;
    return this.areAllTarget(this.options.knownGates(service));
  }

  /**
   * Takes a phase that another node or the store reports; an earlier phase is ignored.
   *
   * @returns whether the phase has changed.
   */
  adopt(phase: serving.RolloutPhase, sharePermille: number): boolean {
    const later =
      rolloutPhase.rankOf(phase) - rolloutPhase.rankOf(this.currentPhase);
    if (later < 0) return false;
    if (later === 0) {
      this.share = Math.max(this.share, sharePermille);
      return false;
    }
    this.enter(phase);
    this.share = Math.max(this.share, sharePermille);
    return true;
  }

  /** Runs an evaluation if it is due; returns whether the phase or the grants have changed. */
  tick(authority: Authority, now: units.MonotonicMs): boolean {
    if (now < this.nextWindowMs) return false;
    const isLate = now >= this.nextWindowMs + PAUSED_MS;
    this.heldWindows = isLate
      ? HELD_WINDOWS
      : Math.max(0, this.heldWindows - 1);
    this.nextWindowMs = now + WINDOW_MS;
    this.windows++;
    this.judge.observe(this.evidence.takeWindow());
    if (!authority.decides || this.isEnded || this.heldWindows > 0) {
      this.currentGrants = [];
      return false;
    }
    const before = this.currentPhase;
    this.decide(authority, now);
    return this.currentPhase !== before || this.currentGrants.length > 0;
  }

  /** Whether `done` may be written: the gates of the other versions are closed and empty. */
  isMoved(now: units.MonotonicMs): boolean {
    if (this.currentPhase !== serving.RolloutPhase.CLOSING) return false;
    const open = this.evidence.gates.filter(view => {
      const {evidence, phase, heardMs} = view;
      if (this.evidence.isTarget(evidence)) return false;
      if (now - heardMs > SILENT_GATE_MS) return false;
      const isClosed = rolloutPhase.isMoved(phase);
      return !isClosed || evidence.running + evidence.waiting > 0;
    });
    const reported = new Set(this.evidence.gates.map(gate => gate.nodeId));
    const unheard = this.options
      .linkedGates(this.current.service)
      .filter(nodeId => !reported.has(nodeId));
    const nodes = [...open.map(({nodeId}) => nodeId), ...unheard];
    this.waitsFor = nodes.length > 0 ? `gates ${nodes.join(',')}` : '';
    return nodes.length === 0;
  }

  private decide(authority: Authority, now: units.MonotonicMs): void {
    this.currentGrants = [];
    const {phase} = this;
    const mayMove = authority.readsStore && this.hearsFleet(now);
    if (this.isBad) return this.enter(serving.RolloutPhase.ROLLING_BACK);
    if (phase === serving.RolloutPhase.CANARY) {
      if (mayMove && this.isGoodVerdictDue(now)) {
        return this.enter(serving.RolloutPhase.MOVING);
      }
      if (mayMove && this.isHopeless(now)) {
        return this.enter(serving.RolloutPhase.ROLLING_BACK);
      }
      const {evidence, options, windows} = this;
      this.share = CANARY_PERMILLE;
      const grants = exposure.raiseGrants(evidence, options.bounds, windows);
      this.currentGrants = grants;
      return;
    }
    if (phase !== serving.RolloutPhase.MOVING || !mayMove) return;
    this.raiseShare();
    if (this.hasOpenTarget && this.isClosingDue(now)) {
      this.enter(serving.RolloutPhase.CLOSING);
    } else if (this.isHopeless(now)) {
      this.enter(serving.RolloutPhase.ROLLING_BACK);
    }
  }

  private enter(phase: serving.RolloutPhase): void {
    this.currentPhase = phase;
    this.currentGrants = [];
    if (phase === serving.RolloutPhase.MOVING) {
      this.share = Math.max(this.share, MOVING_STEP_PERMILLE);
    }
  }

  private get isBad(): boolean {
    const {phase} = this;
    const isOpen =
      phase === serving.RolloutPhase.CANARY ||
      phase === serving.RolloutPhase.MOVING;
    if (isOpen && this.judge.opinion === 'bad') return true;
    return phase === serving.RolloutPhase.CANARY && this.hasManyFailures;
  }

  private get hasManyFailures(): boolean {
    const {targetAnswers, targetFailures, othersAnswers, othersFailures} =
      this.evidence;
    if (targetFailures < MAX_BAD_ANSWERS) return false;
    const othersShare = othersFailures / Math.max(1, othersAnswers);
    return targetFailures > BAD_SHARE_FACTOR * othersShare * targetAnswers;
  }

  private isGoodVerdictDue(now: units.MonotonicMs): boolean {
    if (!this.hasOpenTarget) return this.wait('no open gate of the version');
    const ageMs = this.ageMs(now);
    const {linkedGates} = this.options;
    const {durationMs, service} = this.current;
    const isAlone =
      ageMs >= REPORTS_EXPECTED_MS && this.areAllTarget(linkedGates(service));
    if (isAlone) return true;
    const {targetAnswers, targetLoaded} = this.evidence;
    const {worst, opinion} = this.judge;
    const earliestMs = Math.min(
      EARLIEST_SHARE * durationMs,
      LONGEST_OBSERVATION_MS,
    );
    if (ageMs < earliestMs) return this.wait('observation time');
    const isEnough = targetAnswers >= MIN_ANSWERS && targetLoaded >= MIN_LOADED;
    if (isEnough && opinion === 'unsuspicious') return true;
    const latestShare =
      targetAnswers >= FEW_ANSWERS ? LATEST_SHARE : LATEST_WITH_FEW_SHARE;
    if (ageMs >= latestShare * durationMs && worst <= LATEST_BAD_SCORE) {
      return true;
    }
    return this.wait(isEnough ? 'a clear score' : 'evidence under load');
  }

  /** Whether no good verdict can be reached in time. */
  private isHopeless(now: units.MonotonicMs): boolean {
    const ageMs = this.ageMs(now);
    const {durationMs} = this.current;
    const isSuspect =
      ageMs >= LATEST_SHARE * durationMs &&
      this.evidence.targetAnswers >= FEW_ANSWERS &&
      this.judge.worst > LATEST_BAD_SCORE &&
      this.currentPhase === serving.RolloutPhase.CANARY;
    return isSuspect || ageMs >= GIVE_UP_SHARE * durationMs;
  }

  private isClosingDue(now: units.MonotonicMs): boolean {
    const {durationMs, deadlineMs} = this.current;
    const reserveMs = Math.min(
      CLOSING_RESERVE_MS,
      CLOSING_RESERVE_SHARE * durationMs,
    );
    if (now >= deadlineMs - reserveMs) return true;
    if (this.share < ALL_PERMILLE) return this.wait('the share to rise');
    return true;
  }

  private raiseShare(): void {
    const gates = this.evidence.gates.filter(
      ({evidence}) => this.evidence.isTarget(evidence) && evidence.isOpen,
    );
    const open = gates.reduce(
      (n, g) => n + g.evidence.running + g.evidence.waiting,
      0,
    );
    const limit = gates.reduce((n, g) => n + g.evidence.limit, 0);
    if (open > MOVING_MAX_UTILISATION * limit) return;
    this.share = Math.min(ALL_PERMILLE, this.share + MOVING_STEP_PERMILLE);
  }

  /** Whether this node gets the reports of most gates, so that it is not the one cut off. */
  private hearsFleet(now: units.MonotonicMs): boolean {
    const {gates} = this.evidence;
    const fresh = gates.filter(g => now - g.heardMs <= FRESH_REPORT_MS).length;
    if (fresh >= MIN_FRESH_SHARE * gates.length) return true;
    return this.wait('reports of gates');
  }

  private get hasOpenTarget(): boolean {
    return this.evidence.gates.some(
      ({evidence}) => this.evidence.isTarget(evidence) && evidence.isOpen,
    );
  }

  private areAllTarget(nodeIds: readonly string[]): boolean {
    const targets = new Set(
      this.evidence.gates
        .filter(({evidence}) => this.evidence.isTarget(evidence))
        .map(({nodeId}) => nodeId),
    );
    return nodeIds.length > 0 && nodeIds.every(id => targets.has(id));
  }

  /** Time since the order was first read. */
  private ageMs(now: units.MonotonicMs): units.Millis {
    const {deadlineMs, durationMs} = this.current;
    return now - (deadlineMs - durationMs);
  }

  private wait(reason: string): false {
    this.waitsFor = reason;
    return false;
  }
}
