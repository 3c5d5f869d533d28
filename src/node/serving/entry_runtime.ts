/** Connects the entry to callers and to the gates of all nodes. */
import * as configuration from '../../common/serving/configuration.js';
import * as entryCall from '../../common/serving/entry_call.js';
import * as entryCore from '../../common/serving/entry.js';
import * as gateReports from '../../common/serving/gate_reports.js';
import * as rollouts from '../../common/rollouts/rollouts.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as placement from '../../common/serving/placement.js';
import * as retryAfter from '../../common/serving/retry_after.js';
import * as stopLimit from '../../common/serving/stop_limit.js';
import * as randomSource from '../../common/random_source.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as bodyIntake from '../body_intake.js';
import * as callerMemory from '../caller_memory.js';
import * as clock from '../clock.js';
import * as requestFingerprint from '../request_fingerprint.js';
import * as requestIntake from '../request_intake.js';
import * as resourceStack from '../resource_stack.js';
import * as callerPort from './caller_port.js';
import * as platformAdapter from './platform_adapter.js';
import * as fleetDirectory from './fleet_directory.js';
import * as fleetSync from './fleet_sync.js';
import * as intentWaits from './intent_waits.js';
import * as keyAdmission from './key_admission.js';
import * as gateLinks from './gate_links.js';
import * as quotaRuntime from './quota_runtime.js';
import * as telemetry from './telemetry.js';

/** The gate of the same node, called without a connection. */
export interface LocalGate {
  dispatch(dispatch: serving.Dispatch): void;
  withdraw(call: number): void;
  load(): serving.Load;
}

/** Settings and dependencies of `EntryRuntime`. */
export interface EntryRuntimeOptions {
  readonly service: () => string;
  readonly dataCentre: string;
  readonly http: platformAdapter.HeaderCodec;
  readonly bounds: platformAdapter.FleetBounds;
  /** Memory that the process may use, in MB. */
  readonly memoryMb: number;
  /** Most connections of callers at a time. */
  readonly maxConnections: number;
  readonly rollouts: rollouts.Rollouts;
  readonly intent: operatorIntent.OperatorIntent;
  readonly directory: fleetDirectory.FleetDirectory;
  readonly fleetSync: () => fleetSync.FleetSync;
  readonly random: randomSource.RandomSource;
  readonly fingerprint: requestFingerprint.RequestFingerprint;
  readonly log: telemetry.Telemetry;
  readonly localGate: LocalGate;
  readonly keys: keyAdmission.KeyAdmission;
  greeting(toNodeId: string): serving.Greeting;
  onSuspect(suspect: serving.Suspect): void;
  /** Another node tells what it knows of the backend server beside this one. */
  onNotice(notice: serving.ServerNotice): void;
  /** Returns the longest time for which a request that is read now may have waited. */
  waitedMs(): units.Millis;
  /** Called after each event that the entry has handled. */
  afterEvent(): void;
}

interface WaitingRequest {
  readonly request: entryCall.CallerRequest;
  readonly route: configuration.Route;
  readonly sinceMs: units.MonotonicMs;
}

/** Runs the entry with a port for callers and links to other nodes' gates. */
export class EntryRuntime implements AsyncDisposable {
  readonly callers: callerPort.CallerPort;
  readonly links: gateLinks.GateLinks;
  readonly quotas: quotaRuntime.QuotaRuntime;
  private readonly entry: entryCore.Entry;
  /** Ids of nodes whose latest pulse reports that they read the operators' records successfully. */
  private readonly storeReaders = new Set<string>();
  private readonly reports = new gateReports.GateReports();
  /** Requests that the entry does not handle yet, with the time at which they came. */
  private readonly waiting = new Map<number, WaitingRequest>();
  private readonly intake = this.makeIntake();
  private readonly resources = new resourceStack.ResourceStack();

  constructor(private readonly options: EntryRuntimeOptions) {
    this.quotas = this.resources.use(this.makeQuotas());
    this.links = this.resources.use(this.makeLinks());
    this.entry = this.makeEntry();
    this.callers = this.resources.use(this.makeCallerPort());
  }

  /** Whether a node's latest pulse reports that it reads the operators' records successfully. */
  readsStore(nodeId: string): boolean {
    return this.storeReaders.has(nodeId);
  }

  /** Returns what a gate has told of the incarnation beside it, undefined if nothing. */
  noticeOf(nodeId: string): serving.ServerNotice | undefined {
    return this.reports.noticeOf(nodeId);
  }

  /** Time at which `tick` must be called next. */
  nextWakeMs(): units.MonotonicMs {
    return Math.min(this.entry.nextWakeMs(), this.quotas.nextWakeMs());
  }

  /** Runs the timers of the entry and of the links. */
  tick(now: units.MonotonicMs): void {
    this.quotas.tick(now);
    this.entry.tick(now);
    this.links.tick(now);
  }

  /** Handles an answer of the local gate. */
  onLocalAnswer(answer: serving.Answer): void {
    this.entry.onAnswer(this.localNodeId, answer, clock.monotonicMs());
  }

  /** Handles a refusal of the local gate. */
  onLocalRefusal(refusal: serving.Refusal): void {
    this.entry.onRefusal(this.localNodeId, refusal, clock.monotonicMs());
  }

  /** Number of callers whose response has not been sent. */
  get unanswered(): number {
    return this.callers.inProgress;
  }

  /** Closes connections of callers after their next response. */
  announceClosing(): void {
    this.callers.announceClosing();
  }

  /** Handles only requests from now on that are likely to be answered before the process ends. */
  stopAt(end: stopLimit.ProcessEnd): void {
    this.entry.stopAt(end);
  }

  /** Accepts no more connections and refuses requests that are not read yet. */
  closePort(): void {
    this.callers.stopListening();
  }

  /** Gives up on all requests, as the process is about to end. */
  giveUpAll(): void {
    for (const id of [...this.waiting.keys()]) {
      this.endWait(id, () => this.refuseUnrun(id));
    }
    this.entry.giveUpAll(clock.monotonicMs());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  private get localNodeId(): string {
    return this.options.directory.self.nodeId;
  }

  private makeLinks(): gateLinks.GateLinks {
    const {directory, bounds, log, greeting, fleetSync, onSuspect, afterEvent} =
      this.options;
    return new gateLinks.GateLinks({
      directory,
      log,
      greeting,
      maxPingAfterMs: nodeId =>
        this.readsStore(nodeId) && directory.isNear(nodeId)
          ? intentWaits.linkPingAfterMs(bounds.intent)
          : Infinity,
      waitedMs: () => this.options.waitedMs(),
      nowMs: clock.monotonicMs,
      listener: {
        onUp: () => undefined,
        onDown: nodeId => {
          this.quotas.onLost(nodeId);
          this.reports.forget(nodeId);
          this.storeReaders.delete(nodeId);
        },
        onMaybeUnreachable: nodeId => {
          this.quotas.onLost(nodeId);
          this.entry.onMaybeUnreachable(nodeId, clock.monotonicMs());
          afterEvent();
        },
        onNotice: notice => this.options.onNotice(notice),
        onAnswer: (nodeId, answer) => {
          this.entry.onAnswer(nodeId, answer, clock.monotonicMs());
          afterEvent();
        },
        onRefusal: (nodeId, refusal) => {
          this.entry.onRefusal(nodeId, refusal, clock.monotonicMs());
          afterEvent();
        },
        onPulse: (nodeId, pulse) => {
          this.reports.onLoad(nodeId, pulse.load, clock.monotonicMs());
          if (pulse.readsStore) this.storeReaders.add(nodeId);
          else this.storeReaders.delete(nodeId);
          this.quotas.onPulse(nodeId, pulse);
          fleetSync().onPeerIntent(nodeId, pulse);
          for (const report of pulse.rollouts) {
            const now = clock.monotonicMs();
            this.options.rollouts.onReport(nodeId, report, now);
          }
        },
        onState: (nodeId, state) => fleetSync().onState(nodeId, state),
        onSuspect,
        onFreshnessProof: (nodeId, proof) =>
          this.options.keys.onAnswer(nodeId, proof),
        onTokenGrant: (nodeId, grant) => {
          this.quotas.onTokenGrant(nodeId, grant);
          afterEvent();
        },
        onOutcomeUnknown: (nodeId, call) => {
          this.entry.onOutcomeUnknown(nodeId, call, clock.monotonicMs());
          afterEvent();
        },
        onGateResponds: (nodeId, call) =>
          this.entry.onGateResponds(nodeId, call),
        onRequestLost: (nodeId, call, cause) => {
          const now = clock.monotonicMs();
          const sent = cause !== 'not-sent';
          this.entry.onLinkFailed(nodeId, call, sent, now, cause);
          afterEvent();
        },
      },
    });
  }

  private makeEntry(): entryCore.Entry {
    const {dataCentre, directory, bounds, intent, random, log} = this.options;
    const {reports} = this;
    return new entryCore.Entry({
      intent,
      reports,
      rollouts: this.options.rollouts,
      placement: new placement.Placement({
        dataCentre,
        directory: {gatesOf: service => this.gatesOf(service)},
        reports,
        random,
      }),
      budget: {ratio: bounds.retryRatio, slack: bounds.retrySlack},
      nodeCount: () => directory.size,
      random,
      log,
      output: {
        dispatch: (nodeId, dispatch) => this.dispatch(nodeId, dispatch),
        withdraw: (nodeId, call) => this.withdraw(nodeId, call),
        respond: (id, answer) => {
          this.quotas.onEnded(id, true);
          this.callers.respond(id, answer);
        },
        giveUp: (id, giveUp) => {
          this.quotas.onEnded(id, giveUp.mayHaveRun);
          this.callers.giveUp(id, giveUp);
        },
      },
    });
  }

  private makeCallerPort(): callerPort.CallerPort {
    const {http, service, fingerprint, intent, log, afterEvent} = this.options;
    const bodies = new bodyIntake.BodyIntake({
      memory: callerMemory.CallerMemory.ofProcess(this.options.memoryMb),
      nowMs: clock.monotonicMs,
    });
    log.setCallerMemory(() => bodies.use);
    return new callerPort.CallerPort({
      http,
      service,
      fingerprint,
      bodies,
      maxConnections: this.options.maxConnections,
      listener: {
        configuration: () => intent.configuration,
        admitsKeys: () => this.options.keys.admits(),
        onRequest: (request, route) => {
          const waitedMs = this.options.waitedMs();
          const timeLeftMs = Math.max(0, request.timeLeftMs - waitedMs);
          this.wait({...request, timeLeftMs, waitedMs}, route);
          this.intake.add(request.id);
        },
        onCallerGone: id => {
          this.waiting.delete(id);
          this.quotas.onCallerGone(id);
          this.entry.onCallerGone(id, clock.monotonicMs());
          afterEvent();
        },
        onPaused: () =>
          log.write({
            component: 'entry',
            event: 'connection-paused',
            importance: 'notable',
            facts: {},
          }),
        onRefused: (requestId, reason, facts) =>
          log.write({
            component: 'entry',
            event: 'refused-unread',
            importance: 'notable',
            requestId,
            facts: {
              reason,
              configuration: intent.configuration?.version,
              ...facts,
            },
          }),
      },
    });
  }

  private makeQuotas(): quotaRuntime.QuotaRuntime {
    return new quotaRuntime.QuotaRuntime({
      ...this.options,
      bounds: this.options.bounds.quota,
      links: () => this.links,
      admit: id => this.endWait(id, (req, route) => this.admit(req, route)),
      refuse: (id, retryAfterMs) =>
        this.endWait(id, () => this.refuse(id, retryAfterMs)),
    });
  }

  private makeIntake(): requestIntake.RequestIntake<number> {
    return new requestIntake.RequestIntake({
      nowMs: clock.monotonicMs,
      afterPoll: callback => void setImmediate(callback),
      handle: id => {
        this.endWait(id, (request, route) => this.onRequest(request, route));
        this.options.afterEvent();
      },
    });
  }

  /** Checks the quota before the entry handles a request. */
  private onRequest(
    request: entryCall.CallerRequest,
    route: configuration.Route,
  ): void {
    const {timeLeftMs, heldMs = 0} = request;
    const objectiveLeftMs = Math.min(route.objectiveMs, timeLeftMs) - heldMs;
    const verdict = this.quotas.onRequest(request, objectiveLeftMs);
    switch (verdict.kind) {
      case 'admitted':
        return this.admit(request, route);
      case 'waiting':
        return this.wait(request, route);
      case 'refused':
        return this.refuse(request.id, verdict.retryAfterMs);
    }
  }

  private wait(
    request: entryCall.CallerRequest,
    route: configuration.Route,
  ): void {
    const sinceMs = clock.monotonicMs();
    this.waiting.set(request.id, {request, route, sinceMs});
  }

  private endWait(
    id: number,
    end: (request: entryCall.CallerRequest, route: configuration.Route) => void,
  ): void {
    const item = this.waiting.get(id);
    if (item === undefined) return;
    this.waiting.delete(id);
    const {request, route, sinceMs} = item;
    const heldMs = (request.heldMs ?? 0) + clock.monotonicMs() - sinceMs;
    end({...request, heldMs}, route);
  }

  private admit(
    request: entryCall.CallerRequest,
    route: configuration.Route,
  ): void {
    const now = clock.monotonicMs();
    // The local gate's load is read on each request; other gates report theirs in pulses.
    const load = this.options.localGate.load();
    this.reports.onLoad(this.localNodeId, load, now);
    this.entry.onRequest(request, route, now);
  }

  private refuse(id: number, retryAfterMs: units.Millis): void {
    const reason = 'over-quota';
    this.callers.giveUp(id, {reason, mayHaveRun: false, retryAfterMs});
  }

  private refuseUnrun(id: number): void {
    const retryAfterMs = retryAfter.NO_SERVER_RETRY_MS;
    const giveUp = {reason: 'stopping', mayHaveRun: false} as const;
    this.callers.giveUp(id, {...giveUp, retryAfterMs});
  }

  private gatesOf(service: string): readonly placement.KnownGate[] {
    const {self} = this.options.directory;
    return this.options.directory
      .ofService(service)
      .map(({nodeId, dataCentre}) => ({
        nodeId,
        dataCentre,
        service,
        reachable: nodeId === self.nodeId || this.links.isUp(nodeId),
        maybeUnreachable: this.links.isMaybeUnreachable(nodeId),
      }));
  }

  private dispatch(nodeId: string, dispatch: serving.Dispatch): void {
    if (nodeId === this.localNodeId) this.options.localGate.dispatch(dispatch);
    else this.links.dispatch(nodeId, dispatch);
  }

  private withdraw(nodeId: string, call: number): void {
    if (nodeId === this.localNodeId) this.options.localGate.withdraw(call);
    else this.links.withdraw(nodeId, call);
  }
}
