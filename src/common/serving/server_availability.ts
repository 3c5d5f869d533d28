/** Availability of the backend server beside a gate. */
import * as decision from './decision.js';
import * as incarnations from './incarnations.js';
import * as serving from '../../generated/serving.js';
import * as serverStatement from './server_statement.js';
import * as units from '../units.js';

/** Whether the known incarnation has been confirmed by a health check. */
export type AvailabilityState =
  | 'confirmed'
  /** No requests are sent until a health check confirms the incarnation. */
  | 'unconfirmed'
  /** The incarnation has answered health checks, but none as healthy; it may be leaving. */
  | 'unproven'
  /** The backend server does not answer. */
  | 'down';

/** The request whose answer makes a statement. */
export interface StatementOrigin {
  /** Incarnation to which it was sent. */
  readonly serial: number;
  readonly startedMs: units.MonotonicMs;
}

/** Log and callbacks of `ServerAvailability`. */
export interface ServerAvailabilityOptions {
  readonly log: decision.DecisionLog;
  /** Requests an immediate health check. */
  checkHealth(): void;
  /** Called when a new incarnation is known. */
  onNewIncarnation(): void;
}

/** Decides from announcements and health checks whether requests may be sent. */
export class ServerAvailability {
  readonly tracker = new incarnations.IncarnationTracker();
  private state: AvailabilityState = 'unconfirmed';
  /** The malformed limit that was logged last. */
  private malformedLimit = '';

  constructor(private readonly options: ServerAvailabilityOptions) {}

  /** Whether requests may be sent now. */
  get isConfirmed(): boolean {
    return this.state === 'confirmed';
  }

  /** Whether a health check decides if requests may be sent. */
  get needsCheck(): boolean {
    return this.state === 'unconfirmed' || this.state === 'down';
  }

  /** Whether a backend server is registered and not known to be unable to take requests. */
  get isPresent(): boolean {
    if (this.tracker.state === 'absent') return false;
    return this.state === 'confirmed' || this.state === 'unconfirmed';
  }

  /** Sends no requests until a health check confirms the backend server. */
  recheck(): void {
    if (this.state === 'confirmed') this.state = 'unconfirmed';
    this.options.checkHealth();
  }

  /** Handles an announcement of the backend server. */
  onAnnouncement(
    announcement: incarnations.Announcement,
    now: units.MonotonicMs,
  ): incarnations.IncarnationChange {
    const change = this.tracker.onAnnouncement(announcement, now);
    this.noteChange(change, 'announced', now);
    if (change === 'new-incarnation' || this.state === 'down') this.recheck();
    return change;
  }

  /** Handles a deregistration, which no further announcement has to follow. */
  onDeregistration(
    instanceId: string,
    startMs: units.EpochMs | undefined,
    now: units.MonotonicMs,
  ): incarnations.IncarnationChange {
    const change = this.tracker.onDeregistration(instanceId, startMs);
    this.noteChange(change, 'deregistered', now);
    return change;
  }

  /** Handles the answer to a health check; returns whether the former incarnation has ended. */
  onHealth(sample: incarnations.HealthSample, now: units.MonotonicMs): boolean {
    const before = this.tracker.instanceId;
    const change = this.tracker.onHealth(sample, now);
    this.noteChange(change, 'health check', now);
    const isKnown = sample.instanceId === this.tracker.instanceId;
    if (isKnown && sample.statement) {
      // A check that began before a pause of this process is abandoned.
      this.onStatement(sample.statement, {
        serial: this.tracker.serial,
        startedMs: now,
      });
    }
    if (isKnown) {
      this.onKnownAnswer();
    }
    return before !== this.tracker.instanceId || change === 'gone';
  }

  /**
   * Handles a failed health check. A confirmed server is marked as down only if it refuses the
   * connection; a missing answer alone does not take it out of service.
   */
  onHealthFailed(failure: 'refused' | 'silent'): void {
    const isDown = failure === 'refused' || this.state === 'unconfirmed';
    if (failure === 'refused') this.tracker.onRefused();
    if (!isDown || this.state === 'down') return;
    this.state = 'down';
    if (this.tracker.state !== 'absent') this.note('server-down', {failure});
  }

  /** Handles the end of a pause of this process; the server may have changed meanwhile. */
  onResumed(now: units.MonotonicMs): void {
    const was = this.tracker.limitPerSecond;
    this.noteEffect(this.tracker.onResumed(now), 'pause', was);
    this.recheck();
  }

  /** Handles the statement of an answer that an incarnation gave to a request. */
  onStatement(
    statement: serverStatement.ServerStatement,
    {serial, startedMs}: StatementOrigin,
  ): void {
    const was = this.tracker.limitPerSecond;
    const effect = this.tracker.onStatement(statement, serial, startedMs);
    const {source, limit} = statement;
    if (limit.kind === 'malformed') this.noteMalformed(limit.text, source);
    this.noteEffect(effect, `${source} answer`, was);
  }

  /** Handles what an entry was told about an incarnation of the backend server. */
  onNotice(notice: serving.ServerNotice): void {
    const was = this.tracker.limitPerSecond;
    this.noteEffect(this.tracker.onNotice(notice), 'other node', was);
  }

  /** Handles a request that reached another instance at the same address. */
  onMisdirected(now: units.MonotonicMs): void {
    this.noteChange(this.tracker.markGone(), 'misdirected', now);
    this.recheck();
  }

  /**
   * Handles the answer of the known incarnation. That it has left may be known to a former process
   * of this node only, so one that has never been healthy gets no requests.
   */
  private onKnownAnswer(): void {
    const {instanceId, isProven} = this.tracker;
    if (isProven && this.state === 'down') this.note('server-up', {});
    if (!isProven && this.state !== 'unproven') {
      this.note('server-unproven', {instanceId});
    }
    this.state = isProven ? 'confirmed' : 'unproven';
  }

  private noteChange(
    change: incarnations.IncarnationChange,
    source: string,
    now: units.MonotonicMs,
  ): void {
    if (change === 'unchanged') return;
    if (change === 'new-incarnation') {
      this.options.onNewIncarnation();
      this.options.checkHealth();
    }
    this.note(`server-${change}`, {
      source,
      instanceId: this.tracker.instanceId,
      slots: this.tracker.slots,
      cold: this.tracker.isCold(now),
    });
  }

  private noteMalformed(text: string, source: string): void {
    if (text === this.malformedLimit) return;
    this.malformedLimit = text;
    const {instanceId} = this.tracker;
    this.note('rate-limit-malformed', {reason: source, instanceId, text});
  }

  private noteEffect(
    {limitChanged, startsLeaving}: incarnations.StatementEffect,
    source: string,
    was: number | undefined,
  ): void {
    const {instanceId, limitPerSecond: perSecond} = this.tracker;
    if (startsLeaving) this.note('server-leaving', {source, instanceId});
    if (!limitChanged) return;
    this.note('rate-limit', {reason: source, instanceId, was, perSecond});
  }

  private note(event: string, facts: decision.Facts): void {
    decision.noteStateChange(this.options.log, 'gate', event, facts);
  }
}
