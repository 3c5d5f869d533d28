/** What a node knows of the backend server beside it: which incarnation lives, and its state. */
import * as units from '../units.js';

/** What a backend server says of itself. */
export interface Announcement {
  readonly instanceId: string;
  /** Start of the incarnation; tells incarnations of one instance id apart. */
  readonly bornMs: units.EpochMs;
  /** Grows with each announcement of an incarnation. */
  readonly sequence: number;
  readonly service: string;
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
  /** Remaining time of the cold start, if told. */
  readonly coldLeftMs: units.Millis | undefined;
  /** Slots of the backend server, if told. */
  readonly slots: number | undefined;
}

/** How news of the backend server relates to what was known. */
export type LifeChange =
  | 'unchanged'
  | 'new-incarnation'
  | 'leaving'
  | 'gone'
  | 'cold'
  /** News of a former incarnation, or out of order. */
  | 'outdated';

interface Incarnation {
  readonly instanceId: string;
  /** Undefined if known by a health check only. */
  readonly bornMs: units.EpochMs | undefined;
  readonly sequence: number;
  readonly slots: number;
  readonly state: 'ready' | 'leaving' | 'gone';
  readonly coldUntilMs: units.MonotonicMs;
}

/** Slots assumed until the backend server tells. */
const UNKNOWN_SLOTS = 4;

/** Slack on the end of a cold start, for the time that a health answer travels. */
const COLD_SLACK_MS = 300;

/** The life of the backend server as its node sees it. */
export class ServerLife {
  private current: Incarnation | undefined;
  private newestBornMs = 0;
  private announcedOnce = false;

  /** Id of the incarnation to which requests may go, undefined if there is none. */
  get instanceId(): string | undefined {
    return this.current?.instanceId;
  }

  /** Slots of the backend server. */
  get slots(): number {
    return this.current?.slots ?? 0;
  }

  /** State of the backend server. */
  get state(): 'absent' | 'ready' | 'leaving' {
    if (this.current === undefined || this.current.state === 'gone') {
      return 'absent';
    }
    return this.current.state;
  }

  /** Whether the backend server is in cold start. */
  isCold(now: units.MonotonicMs): boolean {
    return this.current !== undefined && this.current.coldUntilMs > now;
  }

  /** Takes an announcement. */
  onAnnouncement(a: Announcement, now: units.MonotonicMs): LifeChange {
    const {current} = this;
    if (a.bornMs < this.newestBornMs) return 'outdated';
    const isNew =
      current === undefined ||
      a.bornMs > this.newestBornMs ||
      a.instanceId !== current.instanceId;
    if (isNew && this.announcedOnce && a.bornMs === this.newestBornMs) {
      return 'outdated';
    }
    const adopts =
      isNew &&
      current?.bornMs === undefined &&
      current?.instanceId === a.instanceId;
    this.announcedOnce = true;
    this.newestBornMs = a.bornMs;
    if (isNew && !adopts) {
      this.current = incarnationOf(a, now);
      return 'new-incarnation';
    }
    return this.goOn(current!, a, now);
  }

  /**
   * Takes word that an instance has left for good.
   *
   * @param bornMs start of the incarnation that leaves, if told.
   */
  onDeregistration(
    instanceId: string,
    bornMs: units.EpochMs | undefined,
  ): LifeChange {
    const {current} = this;
    if (current?.instanceId !== instanceId) return 'outdated';
    if (bornMs !== undefined && bornMs < (current.bornMs ?? 0)) {
      return 'outdated';
    }
    if (current.state !== 'ready') return 'unchanged';
    this.current = {...current, state: 'leaving'};
    return 'leaving';
  }

  /** Takes the answer to a health check. */
  onHealth(sample: HealthSample, now: units.MonotonicMs): LifeChange {
    const {instanceId} = sample;
    if (instanceId === undefined) return 'unchanged';
    if (this.current === undefined) return this.adopt(instanceId, sample, now);
    if (this.current.instanceId !== instanceId) return this.disown();
    return this.updateCold(this.current, sample.coldLeftMs, now);
  }

  /** Takes word that another instance answers at the address. */
  disown(): LifeChange {
    if (this.current === undefined || this.current.state === 'gone') {
      return 'unchanged';
    }
    this.current = {...this.current, state: 'gone'};
    return 'gone';
  }

  /**
   * A node that starts beside a living backend server learns it from its health. Later on only
   * announcements name an incarnation, as an address may pass to another service.
   */
  private adopt(
    instanceId: string,
    sample: HealthSample,
    now: units.MonotonicMs,
  ): LifeChange {
    if (this.announcedOnce || !sample.healthy) return 'unchanged';
    this.current = {
      instanceId,
      bornMs: undefined,
      sequence: -1,
      slots: sample.slots ?? UNKNOWN_SLOTS,
      state: 'ready',
      coldUntilMs: now + (sample.coldLeftMs ?? 0),
    };
    return 'new-incarnation';
  }

  private goOn(
    current: Incarnation,
    a: Announcement,
    now: units.MonotonicMs,
  ): LifeChange {
    const isLate = a.sequence <= current.sequence;
    const leaves = a.state === 'leaving' && current.state !== 'leaving';
    const revives = !isLate && !leaves && current.state === 'gone';
    this.current = {
      ...current,
      bornMs: a.bornMs,
      sequence: Math.max(a.sequence, current.sequence),
      slots: a.slots,
      state: leaves ? 'leaving' : revives ? 'ready' : current.state,
    };
    if (leaves) return 'leaving';
    if (isLate) return 'outdated';
    if (revives) return 'new-incarnation';
    return this.updateCold(this.current, a.coldLeftMs, now);
  }

  private updateCold(
    current: Incarnation,
    coldLeftMs: units.Millis | undefined,
    now: units.MonotonicMs,
  ): LifeChange {
    if (coldLeftMs === undefined) return 'unchanged';
    const untilMs = now + coldLeftMs;
    const turnsCold =
      coldLeftMs > 0 && untilMs > current.coldUntilMs + COLD_SLACK_MS;
    this.current = {...current, coldUntilMs: untilMs};
    return turnsCold ? 'cold' : 'unchanged';
  }
}

function incarnationOf(a: Announcement, now: units.MonotonicMs): Incarnation {
  return {
    instanceId: a.instanceId,
    bornMs: a.bornMs,
    sequence: a.sequence,
    slots: a.slots,
    state: a.state,
    coldUntilMs: now + a.coldLeftMs,
  };
}
