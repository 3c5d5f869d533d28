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
    nowMs: clock.monotonicMs,
    greeting: toNodeId => ({
      sender: record('gate', 1),
      processStartedMs: this.processStartedMs,
      toNodeId,
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
      onDispatch: (key, linkId) => {
        this.dispatched.push(key);
        this.linkIds.push(linkId);
      },
      onTokenRequest: ({number}) => ({number, grants: []}),
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

interface Fixture extends AsyncDisposable {
  readonly gate: TestGate;
  readonly relay: faultRelay.FaultRelay;
  readonly link: gateLink.GateLink;
  readonly answers: readonly number[];
  readonly lost: readonly number[];
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
  const lost: number[] = [];
  const mismatches: string[] = [];
  const proofs: serving.FreshnessProof[] = [];
  const unreachable: string[] = [];
  const link = new gateLink.GateLink(record(expected, Number(relayPort)), {
    nowMs: clock.monotonicMs,
    idlePingAfterMs: () => 6_000,
    greeting: toNodeId => ({
      sender: record('entry', 2),
      processStartedMs: 5,
      toNodeId,
    }),
    listener: {
      onUp: () => undefined,
      onDown: () => undefined,
      onMaybeUnreachable: nodeId => void unreachable.push(nodeId),
      onAnswer: (unusedId, answer) => void answers.push(answer.call),
      onRefusal: () => undefined,
      onPulse: () => undefined,
      onState: () => undefined,
      onSuspect: () => undefined,
      onFreshnessProof: (unusedId, proof) => void proofs.push(proof),
      onTokenGrant: () => undefined,
      onRequestLost: (unusedId, call) => void lost.push(call),
      onMismatch: nodeId => void mismatches.push(nodeId),
    },
  });
  const ticks = setInterval(() => link.tick(clock.monotonicMs()), 20);
  return {
    gate,
    relay,
    link,
    answers,
    lost,
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
