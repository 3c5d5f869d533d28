import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fixtures from '../../common/serving/serving_fixtures.test.js';
import * as serving from '../../generated/serving.js';
import * as child from '../../../test/paths/child.js';
import * as faultRelay from '../../../test/paths/fault_relay.js';
import * as clock from '../clock.js';
import * as entrySessions from './entry_sessions.js';
import * as gateLink from './gate_link.js';
import * as nodeRecord from './node_record.js';

const {test} = nodeTest;

const GATE_PROCESS_MS = 77;

function record(nodeId: string, port: number): nodeRecord.NodeRecord {
  const ip = '127.0.0.1';
  const fields = {nodeId, dataCentre: 'north', service: 'orders', ip, port};
  return nodeRecord.check(fields);
}

/** A gate that records the frames it receives. */
class TestGate implements AsyncDisposable {
  readonly dispatched: string[] = [];
  readonly withdrawn: string[] = [];
  processStartedMs = GATE_PROCESS_MS;
  linkIds: number[] = [];
  readonly sessions = new entrySessions.EntrySessions({
    waitedMs: () => 0,
    nowMs: clock.monotonicMs,
    greeting: toNodeId => ({
      sender: record('gate', 1),
      processStartedMs: this.processStartedMs,
      toNodeId,
      acceptsParts: true,
      notice: undefined,
    }),
    pulse: () => ({
      load: fixtures.load(),
      intentEra: 1,
      configurationVersion: 1,
      holdsLostRecords: false,
      rollouts: [],
      intentOffset: 1,
      readsStore: true,
    }),
    state: () => serving.FleetState.fromPartial({intentOffset: 1}),
    freshness: question => ({
      question,
      ageMs: 7,
      intentEra: 1,
      intentOffset: 2,
    }),
    nodeCount: () => 2,
    listener: {
      onGreeting: () => undefined,
      onNotice: () => undefined,
      onDispatch: (key, linkId) => {
        this.dispatched.push(key);
        this.linkIds.push(linkId);
      },
      onTokenRequest: ({number}) => ({number, grants: []}),
      onTurnedAway: () => undefined,
      onWithdraw: key => void this.withdrawn.push(key),
      onLinkLost: () => undefined,
    },
  });

  answer(call: number): void {
    const value = serving.Answer.fromPartial({call, status: 200});
    const linkId = this.linkIds[this.linkIds.length - 1];
    this.sessions.send(linkId, {$case: 'answer', value});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.sessions[Symbol.asyncDispose]();
  }
}

/** Clock of a link that a test can put forward, and polls that it can hold back. */
class TestTime {
  offsetMs = 0;
  holdsPolls = false;
  private readonly held: Array<() => void> = [];

  nowMs(): number {
    return clock.monotonicMs() + this.offsetMs;
  }

  afterPoll(callback: () => void): void {
    if (this.holdsPolls) this.held.push(callback);
    else setImmediate(callback);
  }

  releasePolls(): void {
    this.holdsPolls = false;
    for (const callback of this.held.splice(0)) callback();
  }
}

interface Fixture extends AsyncDisposable {
  readonly time: TestTime;
  readonly downs: readonly string[];
  readonly gate: TestGate;
  readonly relay: faultRelay.FaultRelay;
  readonly link: gateLink.GateLink;
  readonly answers: readonly number[];
  readonly lost: readonly string[];
  readonly unknown: readonly number[];
  readonly responding: readonly number[];
  readonly mismatches: readonly string[];
  readonly unreachable: readonly string[];
  readonly proofs: readonly serving.FreshnessProof[];
}

async function connect(expected = 'gate'): Promise<Fixture> {
  const gate = new TestGate();
  const [port] = await child.freePorts(1);
  await gate.sessions.listen({ip: '127.0.0.1', port});
  const relay = new faultRelay.FaultRelay(port);
  const [, relayPort] = (await relay.listen()).split(':');
  const answers: number[] = [];
  const time = new TestTime();
  const downs: string[] = [];
  const lost: string[] = [];
  const unknown: number[] = [];
  const responding: number[] = [];
  const mismatches: string[] = [];
  const proofs: serving.FreshnessProof[] = [];
  const unreachable: string[] = [];
  const link = new gateLink.GateLink(record(expected, Number(relayPort)), {
    nowMs: () => time.nowMs(),
    afterPoll: callback => time.afterPoll(callback),
    idlePingAfterMs: () => 6_000,
    greeting: toNodeId => ({
      sender: record('entry', 2),
      processStartedMs: 5,
      toNodeId,
      acceptsParts: true,
      notice: undefined,
    }),
    listener: {
      onUp: () => undefined,
      onNotice: () => undefined,
      onDown: (unusedId, {detail}) => void downs.push(detail),
      onAbsent: () => undefined,
      onOutcomeUnknown: (unusedId, call) => void unknown.push(call),
      onGateResponds: (unusedId, call) => void responding.push(call),
      onMaybeUnreachable: nodeId => void unreachable.push(nodeId),
      onAnswer: (unusedId, answer) => void answers.push(answer.call),
      onRefusal: () => undefined,
      onPulse: () => undefined,
      onState: () => undefined,
      onSuspect: () => undefined,
      onFreshnessProof: (unusedId, proof) => void proofs.push(proof),
      onTokenGrant: () => undefined,
      onRequestLost: (unusedId, call, cause) =>
        void lost.push(`${call} ${cause}`),
      onMismatch: nodeId => void mismatches.push(nodeId),
    },
  });
  const ticks = setInterval(() => link.tick(time.nowMs()), 20);
  return {
    gate,
    relay,
    link,
    time,
    downs,
    answers,
    lost,
    unknown,
    responding,
    mismatches,
    unreachable,
    proofs,
    async [Symbol.asyncDispose]() {
      clearInterval(ticks);
      link[Symbol.dispose]();
      await relay[Symbol.asyncDispose]();
      await gate[Symbol.asyncDispose]();
    },
  };
}

function waitFor(condition: () => boolean, what: string): Promise<void> {
  return child.waitUntil(condition, 4_000, () => what);
}

test('a request is answered over the link', async () => {
  await using fixture = await connect();
  await waitFor(() => fixture.link.isUp, 'the link');
  fixture.link.dispatch(fixtures.dispatch({call: 1}));
  await waitFor(() => fixture.gate.dispatched.length === 1, 'the request');
  assert.deepEqual(fixture.gate.dispatched, ['entry@5/1']);
  fixture.gate.answer(1);
  await waitFor(() => fixture.answers.length === 1, 'the answer');
});

test('a request on a reset link is sent again under the same key', async () => {
  await using fixture = await connect();
  await waitFor(() => fixture.link.isUp, 'the link');
  fixture.link.dispatch(fixtures.dispatch({call: 1, repeatable: false}));
  await waitFor(() => fixture.gate.dispatched.length === 1, 'the request');
  fixture.relay.reset();
  await waitFor(
    () => fixture.gate.dispatched.length === 2,
    'the request sent again',
  );
  assert.equal(fixture.gate.dispatched[0], fixture.gate.dispatched[1]);
  fixture.gate.answer(1);
  await waitFor(() => fixture.answers.length === 1, 'the answer');
  assert.deepEqual(fixture.lost, []);
});

test('a link that carries no more frames is replaced and its requests are sent again', async () => {
  await using fixture = await connect();
  await waitFor(() => fixture.link.isUp, 'the link');
  fixture.link.dispatch(fixtures.dispatch({call: 1, repeatable: false}));
  await waitFor(() => fixture.gate.dispatched.length === 1, 'the request');
  fixture.relay.silence();
  await waitFor(
    () => fixture.gate.dispatched.length === 2,
    'the request sent again',
  );
  fixture.gate.answer(1);
  await waitFor(() => fixture.answers.length === 1, 'the answer');
});

test('requests are reported lost, not sent again, if the gate process has changed', async () => {
  await using fixture = await connect();
  await waitFor(() => fixture.link.isUp, 'the link');
  fixture.link.dispatch(fixtures.dispatch({call: 1, repeatable: false}));
  await waitFor(() => fixture.gate.dispatched.length === 1, 'the request');
  fixture.gate.processStartedMs++;
  fixture.relay.reset();
  await waitFor(() => fixture.lost.length === 1, 'the loss');
  assert.equal(fixture.gate.dispatched.length, 1);
});

test('a link to the address of another node does not open', async () => {
  await using fixture = await connect('someone-else');
  await waitFor(() => fixture.mismatches.length > 0, 'the mismatch');
  assert.equal(fixture.link.isUp, false);
});

// Idle links are checked rarely; the ping after a request must not wait for that.
test('a link with a request in progress or just withdrawn is not idle', async () => {
  await using fixture = await connect();
  const {link, relay} = fixture;
  assert.equal(link.isIdle, false);
  await waitFor(() => link.isIdle, 'the link to open');
  relay.silence();
  link.dispatch(fixtures.dispatch({call: 1}));
  assert.equal(link.isIdle, false);
  link.withdraw(1);
  assert.equal(link.isIdle, false);
});

test('a gate that does not answer pings is reported before its link is replaced', async () => {
  await using fixture = await connect();
  await waitFor(() => fixture.link.isUp, 'the link');
  fixture.relay.silence();
  const sentMs = clock.monotonicMs();
  fixture.link.dispatch(fixtures.dispatch({call: 1}));
  await waitFor(
    () => fixture.unreachable.length === 1,
    'the report that the gate may be unreachable',
  );
  assert.ok(clock.monotonicMs() - sentMs < 300);
  assert.ok(fixture.link.isMaybeUnreachable && fixture.link.isUp);
});

test('a gate that runs a long request answers pings and is not reported as unreachable', async () => {
  await using fixture = await connect();
  await waitFor(() => fixture.link.isUp, 'the link');
  fixture.link.dispatch(fixtures.dispatch({call: 1}));
  await new Promise(resolve => setTimeout(resolve, 600));
  assert.deepEqual(fixture.unreachable, []);
  fixture.gate.answer(1);
  await waitFor(() => fixture.answers.length === 1, 'the answer');
});

test('a question for the freshness proof is answered under its number', async () => {
  await using fixture = await connect();
  const {link, proofs} = fixture;
  await waitFor(() => link.isUp, 'the link to open');
  link.requestFreshness(3);
  await waitFor(() => proofs.length > 0, 'the proof to arrive');
  const proof = {question: 3, ageMs: 7, intentEra: 1, intentOffset: 2};
  assert.deepEqual(proofs, [proof]);
});

async function connectAndDispatch(
  dispatch: Partial<serving.Dispatch> = {},
): Promise<Fixture> {
  const fixture = await connect();
  const {link, gate} = fixture;
  await waitFor(() => link.isUp, 'the link');
  link.dispatch(fixtures.dispatch({call: 1, timeLeftMs: 9_000, ...dispatch}));
  await waitFor(() => gate.dispatched.length === 1, 'the request');
  return fixture;
}

// A gate without processor time was taken for one whose run had failed.
test('a gate that was paused answers over the connection that it knows', async () => {
  await using fixture = await connectAndDispatch();
  const {gate, relay, unknown, responding, answers, lost} = fixture;
  relay.hold();
  await waitFor(() => unknown.length === 1, 'the silence to be reported');
  await new Promise(resolve => setTimeout(resolve, 1_500));
  assert.deepEqual(lost, []);
  relay.release();
  await waitFor(() => responding.length === 1, 'the gate to respond');
  gate.answer(1);
  await waitFor(() => answers.length === 1, 'the answer');
  assert.equal(gate.dispatched.length, 1);
});

test('a withdrawal reaches a gate that was silent when the request was withdrawn', async () => {
  await using fixture = await connectAndDispatch();
  const {gate, relay, link, unknown} = fixture;
  relay.hold();
  await waitFor(() => unknown.length === 1, 'the silence to be reported');
  link.withdraw(1);
  relay.release();
  await waitFor(() => gate.withdrawn.length > 0, 'the withdrawal');
  assert.deepEqual([...new Set(gate.withdrawn)], ['entry@5/1']);
});

// Servers ran requests whose callers had left: the withdrawal was lost with a silent connection.
test('a withdrawal that a lost connection may not have delivered is sent again', async () => {
  await using fixture = await connectAndDispatch();
  const {gate, relay, link, downs} = fixture;
  relay.silence();
  link.withdraw(1);
  await waitFor(() => downs.length === 1, 'the silence to be noticed');
  await waitFor(() => gate.withdrawn.length === 1, 'the withdrawal');
  assert.deepEqual(gate.withdrawn, ['entry@5/1']);
});

test('a pause of this process is not taken for the silence of a gate', async () => {
  await using fixture = await connectAndDispatch();
  const {time, relay, link, downs, unreachable} = fixture;
  relay.mode = {kind: 'delay', delayMs: 60};
  time.holdsPolls = true;
  await new Promise(resolve => setTimeout(resolve, 300));
  time.offsetMs = 1_000;
  link.tick(time.nowMs());
  await new Promise(resolve => setTimeout(resolve, 150));
  time.releasePolls();
  assert.deepEqual(downs, []);
  assert.deepEqual(unreachable, []);
});

test('a request on a link that is down is reported as not sent', async () => {
  await using fixture = await connectAndDispatch();
  const {relay, link, lost} = fixture;
  relay.mode = {kind: 'refuse'};
  relay.reset();
  await waitFor(() => !link.isUp, 'the loss of the link');
  link.dispatch(fixtures.dispatch({call: 2}));
  assert.deepEqual(lost, ['2 not-sent']);
});

test('requests are lost soon after nothing listens at the address of their gate', async () => {
  await using fixture = await connectAndDispatch();
  const {relay, lost} = fixture;
  relay.mode = {kind: 'refuse'};
  relay.reset();
  const lostMs = clock.monotonicMs();
  await waitFor(() => lost.length > 0, 'the loss');
  assert.deepEqual(lost, ['1 process-ended']);
  assert.ok(clock.monotonicMs() - lostMs < 1_000);
});

test('a record with another service or data centre keeps the connection and its requests', async () => {
  await using fixture = await connectAndDispatch();
  const {gate, relay, link, answers, downs} = fixture;
  link.update({...record('gate', relay.port), service: 'maps'});
  gate.answer(1);
  await waitFor(() => answers.length === 1, 'the answer');
  assert.deepEqual(downs, []);
});

test('one reset while a connection waits for its greeting loses no request', async () => {
  await using fixture = await connectAndDispatch();
  const {gate, relay, answers, unknown, lost} = fixture;
  relay.hold();
  await waitFor(() => unknown.length === 1, 'the silence to be reported');
  await new Promise(resolve => setTimeout(resolve, 300));
  relay.reset();
  relay.release();
  await waitFor(() => gate.dispatched.length === 2, 'the request sent again');
  gate.answer(1);
  await waitFor(() => answers.length === 1, 'the answer');
  assert.deepEqual(lost, []);
});

test('a request that is lost with its instance is withdrawn if the process is there again', async () => {
  await using fixture = await connectAndDispatch();
  const {gate, relay, lost} = fixture;
  relay.mode = {kind: 'refuse'};
  relay.reset();
  await waitFor(() => lost.length === 1, 'the loss');
  relay.mode = {kind: 'pass'};
  await waitFor(() => gate.withdrawn.length > 0, 'the withdrawal');
  assert.deepEqual([...new Set(gate.withdrawn)], ['entry@5/1']);
});
