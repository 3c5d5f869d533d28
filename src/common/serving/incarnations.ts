/** Tracks the current incarnation of the backend server beside a node. */
import * as serving from '../../generated/serving.js';
import * as incarnationOrder from './incarnation_order.js';
import * as serverStatement from './server_statement.js';
import * as units from '../units.js';

/** Announcement that a backend server sends to its node. */
export interface Announcement {
  readonly instanceId: string;
  /** Start of the incarnation; distinguishes incarnations with the same instance id. */
  readonly startMs: units.EpochMs;
  /** Increases with each announcement of an incarnation. */
  readonly sequence: number;
  readonly service: string;
  /** Version of the program, empty if not stated. */
  readonly version: string;
  readonly ip: string;
  readonly port: number;
  readonly slots: number;
  readonly state: 'ready' | 'leaving';
  /** Remaining time of the cold start. */
  readonly coldLeftMs: units.Millis;
}

/** Answer to a health check. */
export interface HealthSample {
  readonly healthy: boolean;
  readonly instanceId: string | undefined;
  /** Remaining time of the cold start, if reported. */
  readonly coldLeftMs: units.Millis | undefined;
  /** Slots of the backend server, if reported. */
  readonly slots: number | undefined;
  readonly statement?: serverStatement.ServerStatement;
}

/** Effect of an event on the known incarnation. */
export type IncarnationChange =
  | 'unchanged'
  | 'new-incarnation'
  | 'leaving'
  | 'gone'
  | 'cold'
  /** The event belongs to a former incarnation or came out of order. */
  | 'outdated'
  /** An incarnation leaves that may be the current one; the gate closes until that one is heard. */
  | 'unplaced';

/** Whether an event with this effect belongs to the current incarnation. */
export function isOfCurrent(change: IncarnationChange): boolean {
  return change !== 'outdated' && change !== 'unplaced';
}

/** Effect of a statement on the known incarnation. */
export interface StatementEffect {
  readonly limitChanged: boolean;
  readonly startsLeaving: boolean;
}

const NO_EFFECT: StatementEffect = {limitChanged: false, startsLeaving: false};

interface Incarnation {
  readonly instanceId: string;
  /** Undefined if only a health check has reported the incarnation. */
  readonly startMs: units.EpochMs | undefined;
  readonly sequence: number;
  readonly slots: number;
  /** Final for an incarnation. */
  readonly leaving: boolean;
  /** Whether it has answered a health check as healthy. */
  readonly proven: boolean;
  /** Whether another instance has answered at the address since. */
  readonly gone: boolean;
  /** Whether its process may have ended since its last announcement. */
  readonly ended: boolean;
  /** Announcements still awaited after a leaving that may have been its own. */
  readonly awaitedAnnouncements: number;
  readonly coldUntilMs: units.MonotonicMs;
  /** Distinguishes incarnations within the process, also those with the same instance id. */
  readonly serial: number;
  readonly limits: serverStatement.LimitStatements;
  /** Undefined until an announcement states it. */
  readonly version: string | undefined;
}

/** Slots assumed until the backend server reports its own. */
const DEFAULT_SLOTS = 4;

/** Announcements that show that an incarnation runs on after such a leaving; one may be late. */
const AWAITED_ANNOUNCEMENTS = 2;

/** Tolerance in ms on the end of a cold start, for the latency of health check answers. */
const COLD_START_TOLERANCE_MS = 300;

/** Most notices kept, one for each incarnation. */
const MAX_NOTICES = 16;

/** Notices of other nodes, the latest of each incarnation whose start is known. */
class KnownNotices {
  private readonly byIncarnation = new Map<string, serving.ServerNotice>();

  /** The notices, the latest last. */
  get all(): readonly serving.ServerNotice[] {
    return [...this.byIncarnation.values()];
  }

  /** Keeps a notice. Without a start it could bind a later incarnation with the same id. */
  add(notice: serving.ServerNotice): void {
    const {instanceId, startMs} = notice;
    if (startMs === 0) return;
    const key = `${startMs}/${instanceId}`;
    this.byIncarnation.delete(key);
    this.byIncarnation.set(key, notice);
    if (this.byIncarnation.size <= MAX_NOTICES) return;
    const [oldest] = this.byIncarnation.keys();
    this.byIncarnation.delete(oldest);
  }
}

/** Derives the current incarnation and its state from announcements and health checks. */
export class IncarnationTracker {
  private current: Incarnation | undefined;
  private readonly order = new incarnationOrder.IncarnationOrder();
  private hasAnnouncement = false;
  private lastSerial = 0;
  private readonly notices = new KnownNotices();

  /** Instance id of the current incarnation, undefined if none is known. */
  get instanceId(): string | undefined {
    return this.current?.instanceId;
  }

  /** Version of the backend server, undefined until an announcement states it. */
  get version(): string | undefined {
    return this.current?.version;
  }

  /** Slots of the backend server, 0 if none is known. */
  get slots(): number {
    return this.current?.slots ?? 0;
  }

  /** Whether the current incarnation has answered a health check as healthy. */
  get isProven(): boolean {
    return this.current?.proven ?? false;
  }

  /** Number of the current incarnation within this process, 0 if none is known. */
  get serial(): number {
    return this.current?.serial ?? 0;
  }

  /** Requests per second that the backend server accepts, undefined without a limit. */
  get limitPerSecond(): number | undefined {
    return this.current?.limits.perSecond;
  }

  /** State of the backend server; `absent` also if another instance has its address. */
  get state(): 'absent' | 'ready' | 'leaving' {
    if (this.current === undefined || this.current.gone) return 'absent';
    const {leaving, awaitedAnnouncements} = this.current;
    return leaving || awaitedAnnouncements > 0 ? 'leaving' : 'ready';
  }

  /** Whether the backend server is in cold start. */
  isCold(now: units.MonotonicMs): boolean {
    return this.current !== undefined && this.current.coldUntilMs > now;
  }

  /** Handles an announcement; a former incarnation never replaces the current one. */
  onAnnouncement(
    announcement: Announcement,
    now: units.MonotonicMs,
  ): IncarnationChange {
    const {current, order} = this;
    if (current === undefined) return this.replace(announcement, now);
    if (isOf(announcement, current)) {
      order.onCurrentHeard();
      this.hasAnnouncement = true;
      const change = this.updateCurrent(current, announcement, now);
      return this.applyKnownNotices() ? 'leaving' : change;
    }
    if (order.replaces(announcement, current, now)) {
      return this.replace(announcement, now);
    }
    const {instanceId, startMs, state} = announcement;
    if (state === 'ready') return 'outdated';
    return this.onUnplacedLeaving(instanceId, startMs, current);
  }

  /**
   * Handles a deregistration; leaving is final for an incarnation.
   *
   * @param startMs start of the incarnation that leaves, if reported.
   */
  onDeregistration(
    instanceId: string,
    startMs: units.EpochMs | undefined,
  ): IncarnationChange {
    const {current} = this;
    if (current?.instanceId !== instanceId) return 'outdated';
    if (startMs !== undefined) {
      const isFormer = this.order.isFormer({instanceId, startMs});
      if (isFormer || startMs < (current.startMs ?? 0)) {
        return this.onUnplacedLeaving(instanceId, startMs, current);
      }
    }
    return this.markLeaving({...current, startMs: startMs ?? current.startMs});
  }

  /** Handles a refused connection: the process of the current incarnation may have ended. */
  onRefused(): void {
    if (this.current) this.current = {...this.current, ended: true};
  }

  /** Handles the answer to a health check. */
  onHealth(sample: HealthSample, now: units.MonotonicMs): IncarnationChange {
    const {instanceId} = sample;
    if (instanceId === undefined) return 'unchanged';
    if (this.current === undefined) return this.adopt(instanceId, sample, now);
    if (this.current.instanceId !== instanceId) return this.markGone();
    if (sample.healthy) this.current = {...this.current, proven: true};
    return this.updateColdStart(this.current, sample.coldLeftMs, now);
  }

  /**
   * Handles the statement of an answer.
   *
   * @param serial incarnation that gave the answer; an earlier one says nothing about the current.
   * @param askedMs when the request of the answer was sent.
   */
  onStatement(
    statement: serverStatement.ServerStatement,
    serial: number,
    askedMs: units.MonotonicMs,
  ): StatementEffect {
    const {current} = this;
    if (serial !== current?.serial) return NO_EFFECT;
    const limitChanged = current.limits.apply(statement, askedMs);
    const startsLeaving =
      statement.leaving && this.markLeaving(current) === 'leaving';
    return {limitChanged, startsLeaving};
  }

  /** Handles the end of a pause of this process, in which the limit may have changed. */
  onResumed(now: units.MonotonicMs): StatementEffect {
    const limitChanged = this.current?.limits.onResumed(now) ?? false;
    return {limitChanged, startsLeaving: false};
  }

  /** Returns what the incarnation has stated, undefined if it has stated nothing of note. */
  notice(): serving.ServerNotice | undefined {
    const {current} = this;
    if (!current || !(current.leaving || current.limits.isKnown)) {
      return undefined;
    }
    const {instanceId, startMs = 0, leaving, limits} = current;
    const limitPerSecond = limits.named;
    return {instanceId, startMs, leaving, limitPerSecond};
  }

  /**
   * Handles what another node was told about an incarnation, maybe by an earlier process of this
   * node; what the backend server has stated to this process goes first. A notice also binds an
   * incarnation that becomes known later.
   */
  onNotice(notice: serving.ServerNotice): StatementEffect {
    this.notices.add(notice);
    return this.applyNotice(notice);
  }

  /** Marks the incarnation as gone, because another instance answers at its address. */
  markGone(): IncarnationChange {
    if (this.current === undefined || this.current.gone) return 'unchanged';
    this.current = {...this.current, gone: true};
    return 'gone';
  }

  private applyNotice(notice: serving.ServerNotice): StatementEffect {
    const {current} = this;
    if (current === undefined || !concerns(notice, current)) return NO_EFFECT;
    const {startMs, limitPerSecond} = notice;
    const limitChanged =
      limitPerSecond !== undefined &&
      current.limits.applyReported(limitPerSecond);
    if (current.startMs === undefined && startMs > 0) {
      this.current = {...current, startMs};
    }
    const startsLeaving =
      notice.leaving && this.markLeaving(this.current!) === 'leaving';
    return {limitChanged, startsLeaving};
  }

  /** Applies the notices that came before the incarnation; returns whether it starts to leave. */
  private applyKnownNotices(): boolean {
    const effects = this.notices.all.map(notice => this.applyNotice(notice));
    return effects.some(({startsLeaving}) => startsLeaving);
  }

  private replace(
    announcement: Announcement,
    now: units.MonotonicMs,
  ): IncarnationChange {
    this.order.onReplaced(this.current);
    this.hasAnnouncement = true;
    this.current = incarnationOf(announcement, ++this.lastSerial, now);
    this.applyKnownNotices();
    return 'new-incarnation';
  }

  /**
   * Handles the leaving of another incarnation. Unless that one is known to be former, it may be
   * the one that runs; if it is not, the current one will announce itself.
   */
  private onUnplacedLeaving(
    instanceId: string,
    startMs: units.EpochMs,
    current: Incarnation,
  ): IncarnationChange {
    const {order} = this;
    const name = {instanceId, startMs};
    const isPlaced = order.isFormer(name) && !order.isContender(name);
    if (isPlaced || instanceId !== current.instanceId) return 'outdated';
    this.current = {
      ...current,
      awaitedAnnouncements: AWAITED_ANNOUNCEMENTS,
    };
    return 'unplaced';
  }

  private markLeaving(current: Incarnation): IncarnationChange {
    if (current.leaving) return 'unchanged';
    this.current = {...current, leaving: true};
    return 'leaving';
  }

  /**
   * Takes the incarnation from a health check when a node starts beside a running backend server.
   * After the first announcement only announcements name an incarnation, since an address may be
   * reassigned to another service.
   */
  private adopt(
    instanceId: string,
    sample: HealthSample,
    now: units.MonotonicMs,
  ): IncarnationChange {
    if (this.hasAnnouncement || !sample.healthy) return 'unchanged';
    this.current = {
      instanceId,
      startMs: undefined,
      sequence: -1,
      slots: sample.slots ?? DEFAULT_SLOTS,
      leaving: false,
      proven: true,
      gone: false,
      ended: false,
      awaitedAnnouncements: 0,
      coldUntilMs: now + (sample.coldLeftMs ?? 0),
      serial: ++this.lastSerial,
      limits: new serverStatement.LimitStatements(),
      version: undefined,
    };
    this.applyKnownNotices();
    return 'new-incarnation';
  }

  private updateCurrent(
    current: Incarnation,
    announcement: Announcement,
    now: units.MonotonicMs,
  ): IncarnationChange {
    const isOutOfOrder = announcement.sequence <= current.sequence;
    const startsLeaving = announcement.state === 'leaving' && !current.leaving;
    const reappears = !isOutOfOrder && !startsLeaving && current.gone;
    this.current = {
      ...current,
      startMs: announcement.startMs,
      sequence: Math.max(announcement.sequence, current.sequence),
      slots: announcement.slots,
      version: announcement.version,
      leaving: startsLeaving || current.leaving,
      gone: current.gone && !startsLeaving && !reappears,
      ended: current.ended && isOutOfOrder,
      awaitedAnnouncements: isOutOfOrder
        ? current.awaitedAnnouncements
        : Math.max(0, current.awaitedAnnouncements - 1),
    };
    if (startsLeaving) return 'leaving';
    if (isOutOfOrder) return 'outdated';
    if (reappears) return current.leaving ? 'leaving' : 'new-incarnation';
    return this.updateColdStart(this.current, announcement.coldLeftMs, now);
  }

  private updateColdStart(
    current: Incarnation,
    coldLeftMs: units.Millis | undefined,
    now: units.MonotonicMs,
  ): IncarnationChange {
    if (coldLeftMs === undefined) return 'unchanged';
    const untilMs = now + coldLeftMs;
    const becomesCold =
      coldLeftMs > 0 && untilMs > current.coldUntilMs + COLD_START_TOLERANCE_MS;
    this.current = {...current, coldUntilMs: untilMs};
    return becomesCold ? 'cold' : 'unchanged';
  }
}

/**
 * Whether an announcement is of an incarnation. If only health checks have named that one, its
 * start is not known; once it leaves, the announcement may be of a new one with the same id.
 */
function isOf(
  {instanceId, startMs}: Announcement,
  current: Incarnation,
): boolean {
  if (instanceId !== current.instanceId) return false;
  if (current.startMs === undefined) return !current.leaving;
  return startMs === current.startMs;
}

/** Whether a notice is about an incarnation, as far as both starts are known. */
function concerns(
  {instanceId, startMs}: serving.ServerNotice,
  current: Incarnation,
): boolean {
  const isStartKnown = startMs > 0 && current.startMs !== undefined;
  return (
    instanceId === current.instanceId &&
    (!isStartKnown || startMs === current.startMs)
  );
}

function incarnationOf(
  announcement: Announcement,
  serial: number,
  now: units.MonotonicMs,
): Incarnation {
  return {
    instanceId: announcement.instanceId,
    startMs: announcement.startMs,
    sequence: announcement.sequence,
    slots: announcement.slots,
    leaving: announcement.state === 'leaving',
    proven: false,
    gone: false,
    ended: false,
    awaitedAnnouncements: 0,
    coldUntilMs: now + announcement.coldLeftMs,
    serial,
    limits: new serverStatement.LimitStatements(),
    version: announcement.version,
  };
}
