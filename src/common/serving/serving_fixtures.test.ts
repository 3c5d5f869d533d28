/** Fixtures for the tests of entry and gate. */
import * as serving from '../../generated/serving.js';
import * as randomSource from '../random_source.js';
import * as bodyMemory from './body_memory.js';
import * as callKey from './call_key.js';
import * as configuration from './configuration.js';
import * as crashSuspects from './crash_suspects.js';
import * as decision from './decision.js';
import * as entryCall from './entry_call.js';
import * as entryModule from './entry.js';
import * as gateCall from './gate_call.js';
import * as gateReports from './gate_reports.js';
import * as operatorIntent from './operator_intent.js';
import * as placement from './placement.js';
import * as serverGate from './server_gate.js';
import * as incarnations from './incarnations.js';

export const SERVICE = 'orders';

export const DATA_CENTRE = 'north';

/** Memory of a gate for answers that may not have been received. */
export const REPLY_BYTES = 100_000;

/** Memory of a gate for bodies. */
export const BODY_BYTES = 200_000;

export function route(
  overrides: Partial<configuration.Route> = {},
): configuration.Route {
  return {
    name: 'history',
    host: 'shop.example',
    pathPrefix: '/history/',
    repeatable: true,
    timeoutMs: 1_500,
    objectiveMs: 600,
    rank: 2,
    attempts: 2,
    requiresKey: false,
    parts: [{service: SERVICE, weight: 1}],
    ...overrides,
  };
}

export function document(
  overrides: Partial<configuration.FleetConfiguration> = {},
): configuration.FleetConfiguration {
  return {
    version: 1,
    routes: [route()],
    services: [
      {
        name: SERVICE,
        healthPath: '/healthz',
        maxConnections: 200,
        coldStartMs: 3_000,
        coldPerSecond: 10,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...overrides,
  };
}

export function intent(): operatorIntent.OperatorIntent {
  const operatorState = new operatorIntent.OperatorIntent();
  const position = {era: 0, offset: 0};
  const snapshot = {document: document(), dataCentres: [], position};
  operatorState.applySnapshot(snapshot, 0);
  return operatorState;
}

export function announcement(
  overrides: Partial<incarnations.Announcement> = {},
): incarnations.Announcement {
  return {
    instanceId: 'i-1',
    startMs: 1_000,
    sequence: 1,
    service: SERVICE,
    version: 'v1',
    ip: '10.0.0.1',
    port: 80,
    slots: 10,
    state: 'ready',
    coldLeftMs: 0,
    ...overrides,
  };
}

export function dispatch(
  overrides: Partial<serving.Dispatch> = {},
): serving.Dispatch {
  return {
    call: 1,
    service: SERVICE,
    route: 'history',
    requestId: 'r1',
    method: 'GET',
    target: '/history/1',
    headers: [],
    body: Buffer.alloc(0),
    timeLeftMs: 1_500,
    objectiveLeftMs: 600,
    rank: 2,
    repeatable: true,
    redirectable: false,
    fingerprint: 'f1',
    notice: undefined,
    workspace: '',
    ...overrides,
  };
}

export class RecordedLog implements decision.DecisionLog {
  readonly decisions: decision.Decision[] = [];

  write(d: decision.Decision): void {
    this.decisions.push(d);
  }
}

export interface Run {
  readonly key: string;
  readonly instanceId: string;
  readonly timeLeftMs: number;
}

/** Records the operations that a gate calls. */
export class RecordedGateOutput implements gateCall.GateOutput {
  readonly runs: Run[] = [];
  readonly aborted: string[] = [];
  readonly answers: serving.Answer[] = [];
  /** Links that the answers were sent over. */
  readonly answerLinks: number[] = [];
  readonly refusals: serving.Refusal[] = [];
  /** Fingerprints of the reported deaths. */
  readonly suspects: string[] = [];
  /** Fingerprints that were reported to crash no servers. */
  readonly cleared: string[] = [];
  readonly closures: serving.Closure[] = [];
  limitReports = 0;
  healthChecks = 0;
  loadSamples = 0;

  run(call: gateCall.GateCall, instanceId: string, timeLeftMs: number): void {
    this.runs.push({key: call.key, instanceId, timeLeftMs});
  }

  abort(key: string): void {
    this.aborted.push(key);
  }

  answer(linkId: number, answer: serving.Answer): void {
    this.answerLinks.push(linkId);
    this.answers.push(answer);
  }

  refuse(unusedLinkId: number, refusal: serving.Refusal): void {
    this.refusals.push(refusal);
  }

  checkHealth(): void {
    this.healthChecks++;
  }

  sampleLoad(): void {
    this.loadSamples++;
  }

  reportSuspect({fingerprint, deaths}: crashSuspects.Suspicion): void {
    (deaths > 0 ? this.suspects : this.cleared).push(fingerprint);
  }

  rateLimitChanged(): void {
    this.limitReports++;
  }

  closureChanged(closure: serving.Closure): void {
    this.closures.push(closure);
  }

  get reasons(): readonly serving.Reason[] {
    return this.refusals.map(refusal => refusal.reason);
  }
}

/** A gate with recorded output and log. */
export class GateHarness {
  readonly intent = intent();
  readonly output = new RecordedGateOutput();
  readonly log = new RecordedLog();
  readonly suspects = new crashSuspects.CrashSuspects();
  readonly bodyMemory = new bodyMemory.BodyMemory(BODY_BYTES);
  readonly gate: serverGate.ServerGate;
  /** Processes of entries that another link shows to run. */
  readonly entriesUp = new Set<string>();
  private lastCall = 0;

  constructor(startedMs = -10_000, soleSenderSinceMs = 1_500) {
    this.gate = new serverGate.ServerGate({
      service: () => SERVICE,
      dataCentre: DATA_CENTRE,
      intent: this.intent,
      suspects: this.suspects,
      output: this.output,
      log: this.log,
      random: new randomSource.SeededRandom(7),
      replyBytes: REPLY_BYTES,
      bodyMemory: this.bodyMemory,
      isEntryUp: entryProcess => this.entriesUp.has(entryProcess),
      coldRateFactor: 1.25,
      startedMs,
      soleSenderSinceMs,
    });
  }

  /** Announces the backend server and confirms it by a health check. */
  open(overrides: Partial<incarnations.Announcement> = {}, now = 0): this {
    const sent = announcement(overrides);
    this.gate.onAnnouncement(sent, now);
    this.healthy(sent.instanceId, now);
    return this;
  }

  healthy(instanceId = 'i-1', now = 0, coldLeftMs?: number): void {
    const sample = {healthy: true, instanceId, coldLeftMs, slots: undefined};
    this.gate.onHealth(sample, now);
  }

  /** Sends a request to the gate and returns its key. */
  call(overrides: Partial<serving.Dispatch> = {}, now = 0): string {
    return this.callFrom('e', overrides, now);
  }

  /** Sends a request of an entry's process to the gate and returns its key. */
  callFrom(
    entryProcess: string,
    overrides: Partial<serving.Dispatch> = {},
    now = 0,
  ): string {
    const call = ++this.lastCall;
    const key = callKey.format(entryProcess, call);
    const gateDispatch = dispatch({
      call,
      requestId: `r${call}`,
      fingerprint: `f${call}`,
      ...overrides,
    });
    this.gate.onCall({key, linkId: 1, dispatch: gateDispatch}, now);
    return key;
  }

  /** Sends a request again under its key over another link. */
  resend(
    key: string,
    linkId: number,
    now: number,
    overrides: Partial<serving.Dispatch> = {},
  ): void {
    const {call} = callKey.parse(key);
    const gateDispatch = dispatch({call, ...overrides});
    this.gate.onCall({key, linkId, dispatch: gateDispatch}, now);
  }

  answered(
    key: string,
    now: number,
    status = 200,
    body = Buffer.alloc(0),
  ): void {
    const answer = {status, headers: [], body};
    this.gate.onRunEnded(key, {kind: 'answered', answer}, now);
  }

  isRunning(key: string): boolean {
    return this.output.runs.some(run => run.key === key);
  }
}

export function load(overrides: Partial<serving.Load> = {}): serving.Load {
  return {
    running: 0,
    waiting: 0,
    limit: 8,
    pacePercent: 100,
    meanMs: 200,
    failingPercent: 0,
    cold: false,
    closure: serving.Closure.OPEN,
    startWaitMs: 0,
    notice: undefined,
    ...overrides,
  };
}

export function gate(
  nodeId: string,
  overrides: Partial<placement.KnownGate> = {},
): placement.KnownGate {
  return {
    nodeId,
    dataCentre: DATA_CENTRE,
    service: SERVICE,
    reachable: true,
    maybeUnreachable: false,
    ...overrides,
  };
}

export interface Sent {
  readonly nodeId: string;
  readonly dispatch: serving.Dispatch;
}

/** An entry with fixed gates and recorded output. */
export class EntryHarness {
  readonly log = new RecordedLog();
  readonly sent: Sent[] = [];
  readonly withdrawn: number[] = [];
  readonly responses: serving.Answer[] = [];
  readonly givenUp: entryCall.GiveUp[] = [];
  readonly reports = new gateReports.GateReports();
  readonly entry: entryModule.Entry;
  /** Called for each request that is sent, while the entry sends it. */
  onSent: (sent: Sent) => void = () => undefined;
  private lastId = 0;

  constructor(
    readonly gates: readonly placement.KnownGate[],
    budget = {ratio: 0.2, slack: 50},
  ) {
    for (const {nodeId} of gates) this.reports.onLoad(nodeId, load(), 0);
    this.entry = new entryModule.Entry({
      intent: intent(),
      reports: this.reports,
      placement: new placement.Placement({
        dataCentre: DATA_CENTRE,
        directory: {
          gatesOf: service => gates.filter(g => g.service === service),
        },
        reports: this.reports,
        random: new randomSource.SeededRandom(7),
      }),
      budget,
      nodeCount: () => gates.length,
      random: new randomSource.SeededRandom(7),
      log: this.log,
      output: {
        dispatch: (nodeId, d) => {
          this.sent.push({nodeId, dispatch: d});
          this.onSent(this.last);
        },
        withdraw: (unusedNodeId, call) => void this.withdrawn.push(call),
        respond: (unusedId, answer) => void this.responses.push(answer),
        giveUp: (unusedId, giveUp) => void this.givenUp.push(giveUp),
      },
    });
  }

  request(
    overrides: Partial<configuration.Route> = {},
    now = 0,
    fields: Partial<entryCall.CallerRequest> = {},
  ): number {
    const id = ++this.lastId;
    const request: entryCall.CallerRequest = {
      id,
      requestId: `r${id}`,
      method: 'GET',
      target: '/history/1',
      headers: [],
      body: Buffer.alloc(0),
      timeLeftMs: 1_500,
      fingerprint: `f${id}`,
      ...fields,
    };
    this.entry.onRequest(request, route(overrides), now);
    return id;
  }

  get last(): Sent {
    return this.sent[this.sent.length - 1];
  }

  refuseLast(
    reason: serving.Reason,
    overrides: Partial<serving.Refusal> = {},
    now = 1,
  ): void {
    const {nodeId, dispatch: d} = this.last;
    const refusal = serving.Refusal.fromPartial({
      call: d.call,
      reason,
      retryAfterMs: 40,
      ...overrides,
    });
    this.entry.onRefusal(nodeId, {...refusal, load: undefined}, now);
  }

  answerLast(status: number, now: number): void {
    const {nodeId, dispatch: d} = this.last;
    const body = Buffer.alloc(0);
    const answer = {call: d.call, status, headers: [], body, load: undefined};
    this.entry.onAnswer(nodeId, answer, now);
  }
}
