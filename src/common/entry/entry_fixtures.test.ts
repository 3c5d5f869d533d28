/** Test builders for fleets, requests and entry cores; the routing tests use them too. */
import * as configuration from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as settings from '../../generated/settings.js';
import * as configurationInForce from '../configuration/configuration_in_force.js';
import * as fleetView from '../control/fleet_view.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as entryContract from './entry_contract.js';
import * as entryCore from './entry_core.js';

export const SERVICE = 'catalogue';

export function at(monotonicMs: number): units.Instant {
  return {monotonicMs, epochMs: 1_700_000_000_000 + monotonicMs};
}

export function member(
  nodeId: string,
  fields: Partial<peer.Member> = {},
): peer.Member {
  return {
    nodeId,
    service: SERVICE,
    dataCentre: 'couva',
    region: 'tt-central',
    ip: '127.0.0.1',
    httpPort: 1,
    peerPort: 2,
    operatorPort: 3,
    slots: 12,
    incarnation: 7,
    ...fields,
  };
}

export function load(
  inFlight: number,
  fields: Partial<peer.LoadReport> = {},
): peer.LoadReport {
  return {
    inFlight,
    queued: 0,
    limit: 10,
    latencyUs: 5_000,
    cold: false,
    leaving: false,
    ageMs: 0,
    ...fields,
  };
}

/** A fleet view whose members tests can change. */
export class FakeFleet implements fleetView.FleetView {
  readonly members = new Map<string, fleetView.MemberView>();
  readonly rosterOffset = 3;
  readonly stale = false;
  configuration: configurationInForce.ConfigurationInForce;

  constructor(nodes: readonly (string | peer.Member)[]) {
    for (const n of nodes) this.put(typeof n === 'string' ? member(n) : n);
    this.configuration = configurationOf([]);
  }

  put(m: peer.Member, fields: Partial<fleetView.MemberView> = {}): void {
    this.members.set(m.nodeId, {
      member: m,
      roster: 'joined',
      liveness: peer.LivenessState.ALIVE,
      provisional: false,
      ...fields,
    });
  }

  rosterConfirmedAgeMs(): number {
    return 0;
  }

  membersOf(service: string): readonly fleetView.MemberView[] {
    return [...this.members.values()].filter(m => m.member.service === service);
  }

  member(nodeId: string): fleetView.MemberView | undefined {
    return this.members.get(nodeId);
  }
}

export function configurationOf(
  exceptions: readonly configuration.Exception[],
  defaults: configuration.ServiceTuning = {},
): configurationInForce.ConfigurationInForce {
  return new configurationInForce.ConfigurationInForce(5, {
    defaults,
    classes: [],
    services: [],
    exceptions,
  });
}

export function requestClass(
  fields: Partial<configuration.RequestClass> = {},
): configuration.RequestClass {
  return {
    name: 'price',
    kind: 'interactive',
    deadlineMs: 1_000,
    idempotent: true,
    maxAttempts: 3,
    hedgeAfterMs: 0,
    ...fields,
  };
}

export function request(
  requestId: string,
  fields: Partial<entryContract.CallerRequest> = {},
): entryContract.CallerRequest {
  const idempotent = fields.requestClass?.idempotent ?? true;
  return {
    requestId,
    service: SERVICE,
    requestClass: requestClass(),
    method: idempotent ? 'GET' : 'POST',
    path: '/catalogue/mop',
    headers: [],
    body: Buffer.alloc(0),
    deadlineMs: 1_000,
    depth: 0,
    fingerprint: 'f',
    ...fields,
  };
}

export function answer(
  callId: string,
  fields: Partial<peer.CallAnswer> = {},
): entryContract.EntryEvent & {readonly kind: 'answer'} {
  return {
    kind: 'answer',
    nodeId: '',
    answer: {
      callId,
      status: 200,
      headers: [],
      body: Buffer.from(callId),
      load: undefined,
      configurationRevision: 5,
      ...fields,
    },
  };
}

export function refusal(
  callId: string,
  fields: Partial<peer.CallRefusal> = {},
): peer.CallRefusal {
  return {
    callId,
    reason: peer.RefusalReason.NO_ROOM,
    outcome: peer.Outcome.NOT_RUN,
    retryAfterMs: 20,
    alternatives: [],
    load: undefined,
    configurationRevision: 5,
    serverDied: false,
    ...fields,
  };
}

type Dispatch = Extract<entryContract.EntryAction, {readonly kind: 'dispatch'}>;

/** An entry core with helpers that feed it events. */
export class Entry {
  readonly counters = new counters.MemoryCounters();
  readonly core: entryCore.EntryCore;
  nowMs = 0;

  constructor(
    readonly fleet: FakeFleet,
    options: Partial<entryCore.EntryOptions> = {},
  ) {
    this.core = new entryCore.EntryCore({
      nodeId: 'entry',
      dataCentre: 'couva',
      region: 'tt-central',
      incarnation: 1,
      selector: {kind: 'redirect'} as settings.Settings['selector'],
      maxCalls: 100,
      view: fleet,
      counters: this.counters,
      invariants: new invariants.Invariants(this.counters),
      random: new randomSource.SeededRandom(1),
      ...options,
    });
  }

  handle(
    event: entryContract.EntryEvent,
  ): readonly entryContract.EntryAction[] {
    return this.core.handle(event, at(this.nowMs));
  }

  /** Sends a request and returns its dispatch; throws unless there is exactly one. */
  send(req: entryContract.CallerRequest): Dispatch {
    return dispatched(this.handle({kind: 'request', request: req}));
  }

  answer(
    d: Dispatch,
    fields: Partial<peer.CallAnswer> = {},
  ): readonly entryContract.EntryAction[] {
    return this.handle({
      ...answer(d.call.callId, fields),
      nodeId: d.nodeId,
    });
  }

  refuse(
    d: Dispatch,
    fields: Partial<peer.CallRefusal> = {},
  ): readonly entryContract.EntryAction[] {
    const {nodeId} = d;
    return this.handle({
      kind: 'refusal',
      nodeId,
      refusal: refusal(d.call.callId, fields),
    });
  }

  linkFailed(d: Dispatch, sent: boolean): readonly entryContract.EntryAction[] {
    const {nodeId} = d;
    const {callId} = d.call;
    return this.handle({
      kind: 'link-failed',
      nodeId,
      callId,
      sent,
      refused: false,
    });
  }

  /** The gate's address refuses the connection. */
  linkRefused(d: Dispatch): readonly entryContract.EntryAction[] {
    return this.handle({
      kind: 'link-failed',
      nodeId: d.nodeId,
      callId: d.call.callId,
      sent: false,
      refused: true,
    });
  }

  linkSilent(d: Dispatch): readonly entryContract.EntryAction[] {
    const {nodeId} = d;
    return this.handle({kind: 'link-silent', nodeId, callId: d.call.callId});
  }

  /** Sets the clock to `nowMs` and sends a tick. */
  tickAt(nowMs: number): readonly entryContract.EntryAction[] {
    this.nowMs = nowMs;
    return this.handle({kind: 'tick'});
  }
}

/** Returns the only dispatch among the actions; throws unless there is exactly one. */
export function dispatched(
  actions: readonly entryContract.EntryAction[],
): Dispatch {
  const found = actions.flatMap(a => (a.kind === 'dispatch' ? [a] : []));
  if (found.length !== 1) {
    throw new Error(`expected one dispatch: ${JSON.stringify(actions)}`);
  }
  return found[0];
}

/** Returns the only refusal among the actions; throws unless there is exactly one. */
export function refused(
  actions: readonly entryContract.EntryAction[],
): peer.CallRefusal {
  const found = actions.flatMap(a => (a.kind === 'refuse' ? [a.refusal] : []));
  if (found.length !== 1) {
    throw new Error(`expected one refusal: ${JSON.stringify(actions)}`);
  }
  return found[0];
}
