/** Whether the backend server beside a gate can be sent requests. */
import * as decision from './decision.js';
import * as serverLife from './server_life.js';
import * as units from '../units.js';

/** Trust in what is known of the backend server. */
export type Trust =
  | 'confirmed'
  /** Nothing is sent until a health check confirms the incarnation. */
  | 'doubted'
  /** The backend server does not answer. */
  | 'down';

/** What trust asks of its surroundings. */
export interface ServerTrustOptions {
  readonly log: decision.DecisionLog;
  /** Wants a health check now. */
  checkHealth(): void;
  /** An incarnation begins. */
  onNewIncarnation(): void;
}

/** Judges news of the backend server. */
export class ServerTrust {
  readonly life = new serverLife.ServerLife();
  private trust: Trust = 'doubted';

  constructor(private readonly options: ServerTrustOptions) {}

  /** Whether requests may be sent now. */
  get isConfirmed(): boolean {
    return this.trust === 'confirmed';
  }

  /** Whether a backend server is there that is not known to be down. */
  get isPresent(): boolean {
    return this.life.state !== 'absent' && this.trust !== 'down';
  }

  /** Lets nothing through until a health check confirms the backend server. */
  doubt(): void {
    if (this.trust === 'confirmed') this.trust = 'doubted';
    this.options.checkHealth();
  }

  /** Takes an announcement. */
  onAnnouncement(
    a: serverLife.Announcement,
    now: units.MonotonicMs,
  ): serverLife.LifeChange {
    const change = this.life.onAnnouncement(a, now);
    this.noteLife(change, 'announced', now);
    if (change === 'new-incarnation' || this.trust === 'down') this.doubt();
    return change;
  }

  /** Takes word that an instance leaves without further announcements. */
  onDeregistration(
    instanceId: string,
    bornMs: units.EpochMs | undefined,
    now: units.MonotonicMs,
  ): serverLife.LifeChange {
    const change = this.life.onDeregistration(instanceId, bornMs);
    this.noteLife(change, 'deregistered', now);
    return change;
  }

  /** Takes the answer to a health check; returns whether the former incarnation is over. */
  onHealth(sample: serverLife.HealthSample, now: units.MonotonicMs): boolean {
    const before = this.life.instanceId;
    const change = this.life.onHealth(sample, now);
    this.noteLife(change, 'health check', now);
    const isKnown = sample.instanceId === this.life.instanceId;
    if (isKnown) {
      if (this.trust === 'down') this.note('server-up', {});
      this.trust = 'confirmed';
    }
    return before !== this.life.instanceId || change === 'gone';
  }

  /**
   * The health check failed: nobody listens at the address, or no answer came in time. Silence
   * alone does not shut out a server that was confirmed.
   */
  onHealthFailed(failure: 'refused' | 'silent'): void {
    const isDown = failure === 'refused' || this.trust === 'doubted';
    if (!isDown || this.trust === 'down') return;
    this.trust = 'down';
    if (this.life.state !== 'absent') this.note('server-down', {failure});
  }

  /** Another instance answered at the address. */
  onMisdirected(now: units.MonotonicMs): void {
    this.noteLife(this.life.disown(), 'misdirected', now);
    this.doubt();
  }

  private noteLife(
    change: serverLife.LifeChange,
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
      instanceId: this.life.instanceId,
      slots: this.life.slots,
      cold: this.life.isCold(now),
    });
  }

  private note(event: string, facts: decision.Facts): void {
    decision.noteBelief(this.options.log, 'gate', event, facts);
  }
}
