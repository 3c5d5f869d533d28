/** Fixtures shared by the tests of the gate. */
import * as generated from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as configurationInForce from '../configuration/configuration_in_force.js';
import * as fleetView from '../control/fleet_view.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as gateContract from './gate_contract.js';
import * as gateCore from './gate_core.js';

const EPOCH_START_MS = 1_700_000_000_000;

/** Source of the calls built here: a link from another node. */
export const SOURCE: gateContract.CallSource = {
  kind: 'link',
  linkId: 1,
  nodeId: 'entry-1',
};

/** Returns the instant `ms` after the start of a test. */
export function instantAt(ms: number): units.Instant {
  return {monotonicMs: ms, epochMs: EPOCH_START_MS + ms};
}

const CLASSES: readonly generated.RequestClass[] = [
  ['price', 'interactive', 500, true],
  ['lookup', 'must-arrive', 5_000, true],
  ['history', 'deferrable', 5_000, true],
  ['order', 'interactive', 2_000, false],
].map(([name, kind, deadlineMs, idempotent]) => ({
  name: name as string,
  kind: kind as generated.RequestClass['kind'],
  deadlineMs: deadlineMs as number,
  idempotent: idempotent as boolean,
  maxAttempts: 3,
  hedgeAfterMs: 0,
}));

/** Builds a configuration with the test classes, without slow start unless `changes` sets it. */
export function configuration(
  changes: Partial<generated.Configuration> = {},
  revision = 1,
): configurationInForce.ConfigurationInForce {
  return new configurationInForce.ConfigurationInForce(revision, {
    classes: [...CLASSES],
    services: [],
    exceptions: [],
    ...changes,
    defaults: {coldStartMs: 0, ...changes.defaults},
  });
}

/** Builds an exception that takes a data centre out. */
export function dataCentreOut(dataCentre: string): generated.DataCentreOut {
  return {
    id: `out-${dataCentre}`,
    kind: 'data-centre-out',
    dataCentre,
    reason: 'power work',
    author: 'ana',
    timeMs: 1,
  };
}

/** Builds an exception that takes a backend server out. */
export function serverOut(server: string): generated.ServerOut {
  return {
    id: `out-${server}`,
    kind: 'server-out',
    server,
    reason: 'disk noise',
    author: 'ana',
    timeMs: 1,
  };
}

/** Builds a member of the test service. */
export function memberView(nodeId: string): fleetView.MemberView {
  return {
    member: peer.Member.create({nodeId, service: 'orders', dataCentre: 'dc-1'}),
    roster: 'joined',
    liveness: peer.LivenessState.ALIVE,
    provisional: false,
  };
}

/** Fleet view whose fields the test sets. */
export class FakeView implements fleetView.FleetView {
  configuration: configurationInForce.ConfigurationInForce | undefined =
    configuration();
  rosterOffset = 10;
  stale = false;
  nodeIds: readonly string[] = ['gate-1', 'gate-2', 'gate-3'];
  confirmedAgeMs = 0;

  membersOf(): readonly fleetView.MemberView[] {
    return this.nodeIds.map(memberView);
  }

  member(nodeId: string): fleetView.MemberView | undefined {
    return this.nodeIds.includes(nodeId) ? memberView(nodeId) : undefined;
  }

  rosterConfirmedAgeMs(): number {
    return this.confirmedAgeMs;
  }
}

/** Gate core with its fake dependencies. */
export interface GateFixture {
  readonly gate: gateCore.GateCore;
  readonly view: FakeView;
  readonly counters: counters.MemoryCounters;
  /** Passes an event to the core at `ms` and returns the actions. */
  send(
    event: gateContract.GateEvent,
    ms: number,
  ): readonly gateContract.GateAction[];
}

/** Builds a gate whose backend server is ready, unless `state` is `absent`. */
export function gateFixture(
  options: {
    readonly slots?: number;
    readonly calls?: number;
    readonly nodeId?: string;
    readonly state?: 'absent' | 'ready';
    readonly seed?: number;
  } = {},
): GateFixture {
  const view = new FakeView();
  const count = new counters.MemoryCounters();
  const gate = new gateCore.GateCore({
    nodeId: options.nodeId ?? 'gate-1',
    service: 'orders',
    dataCentre: 'dc-1',
    incarnation: 7,
    slots: options.slots ?? 2,
    bounds: {calls: options.calls ?? 64},
    view,
    counters: count,
    invariants: new invariants.Invariants(count),
    random: new randomSource.SeededRandom(options.seed ?? 1),
  });
  const send = (event: gateContract.GateEvent, ms: number) =>
    gate.handle(event, instantAt(ms));
  if (options.state !== 'absent') {
    send({kind: 'server-state', state: 'ready', slots: 0}, 0);
  }
  return {gate, view, counters: count, send};
}

/** Builds a call of an idempotent class. */
export function call(
  callId: string,
  changes: Partial<peer.CallRequest> = {},
): gateContract.GateEvent {
  const request = peer.CallRequest.create({
    callId,
    service: 'orders',
    className: 'price',
    method: 'GET',
    path: `/price/${callId}`,
    deadlineMs: 500,
    rosterOffset: 10,
    fingerprint: `fp-${callId}`,
  });
  return {kind: 'call', source: SOURCE, call: {...request, ...changes}};
}

/** Builds a call of a class that is not idempotent. */
export function order(
  callId: string,
  changes: Partial<peer.CallRequest> = {},
): gateContract.GateEvent {
  return call(callId, {className: 'order', deadlineMs: 2_000, ...changes});
}

/** Builds the backend server's answer to a run. */
export function answered(callId: string, run = 1): gateContract.GateEvent {
  return {
    kind: 'server-answered',
    callId,
    run,
    status: 200,
    headers: [],
    body: Buffer.from(`answer to ${callId}`),
  };
}

/** Builds the failure of a run. */
export function failed(
  callId: string,
  failure: gateContract.ServerFailure,
  run = 1,
): gateContract.GateEvent {
  return {kind: 'server-failed', callId, run, failure};
}

/** Returns the actions of one kind. */
export function actionsOfKind<K extends gateContract.GateAction['kind']>(
  actions: readonly gateContract.GateAction[],
  kind: K,
): ReadonlyArray<Extract<gateContract.GateAction, {readonly kind: K}>> {
  return actions.filter(
    (a): a is Extract<gateContract.GateAction, {readonly kind: K}> =>
      a.kind === kind,
  );
}

/** Returns all actions but load notices. */
export function callActions(
  actions: readonly gateContract.GateAction[],
): readonly gateContract.GateAction[] {
  return actions.filter(a => a.kind !== 'tell-siblings');
}

/** Returns `call id reason outcome` of each refusal. */
export function refusals(
  actions: readonly gateContract.GateAction[],
): readonly string[] {
  return actionsOfKind(actions, 'refuse').map(({refusal}) =>
    [refusal.callId, refusal.reason, refusal.outcome]
      .join(' ')
      .replace('REFUSAL_REASON_', '')
      .replace('OUTCOME_', ''),
  );
}

/** Returns the call ids of the started runs. */
export function startedCallIds(
  actions: readonly gateContract.GateAction[],
): readonly string[] {
  return actionsOfKind(actions, 'run').map(a => a.call.callId);
}
