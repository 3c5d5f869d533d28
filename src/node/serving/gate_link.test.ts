import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fixtures from '../../common/serving/serving_fixtures.test.js';
import * as serving from '../../generated/serving.js';
import * as child from '../../../test/paths/child.js';
import * as faultRelay from '../../../test/paths/fault_relay.js';
import * as clock from '../clock.js';
import * as entrySessions from './entry_sessions.js';
import * as gateLink from './gate_link.js';

const {test} = nodeTest;

const GATE_PROCESS_MS = 77;

function record(nodeId: string, port: number): serving.NodeRecord {
  const ip = '127.0.0.1';
  return {nodeId, dataCentre: 'north', service: 'orders', ip, port};
}

/** The gate's side of links, which counts what arrives. */
class GateEnd implements AsyncDisposable {
  readonly dispatched: string[] = [];
  readonly withdrawn: string[] = [];
  processStartedMs = GATE_PROCESS_MS;
  sources: number[] = [];
  readonly sessions = new entrySessions.EntrySessions({
    nowMs: clock.monotonicMs,
    greeting: toNodeId => ({
      sender: record('gate', 1),
      processStartedMs: this.processStartedMs,
      toNodeId,
    }),
    pulse: () => ({
      load: fixtures.load(),
      intentOffset: 1,
      readsStore: true,
    }),
    state: () => serving.FleetState.fromPartial({intentOffset: 1}),
    nodeCount: () => 2,
    listener: {
      onGreeting: () => undefined,
      onDispatch: (key, source) => {
        this.dispatched.push(key);
        this.sources.push(source);
      },
      onWithdraw: key => void this.withdrawn.push(key),
      onSourceLost: () => undefined,
    },
  });

  answer(call: number): void {
    const value = serving.Answer.fromPartial({call, status: 200});
    const source = this.sources[this.sources.length - 1];
    this.sessions.send(source, {$case: 'answer', value});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.sessions[Symbol.asyncDispose]();
  }
}

interface World extends AsyncDisposable {
  readonly gate: GateEnd;
  readonly relay: faultRelay.FaultRelay;
  readonly link: gateLink.GateLink;
  readonly answers: readonly number[];
  readonly lost: readonly number[];
  readonly mismatches: readonly string[];
  readonly doubted: readonly string[];
}

async function connect(expected = 'gate'): Promise<World> {
  const gate = new GateEnd();
  const [port] = await child.freePorts(1);
  await gate.sessions.listen({ip: '127.0.0.1', port});
  const relay = new faultRelay.FaultRelay(port);
  const [, relayPort] = (await relay.listen()).split(':');
  const answers: number[] = [];
  const lost: number[] = [];
  const mismatches: string[] = [];
  const doubted: string[] = [];
  const link = new gateLink.GateLink(record(expected, Number(relayPort)), {
    nowMs: clock.monotonicMs,
    idleSilenceMs: () => 6_000,
    greeting: toNodeId => ({
      sender: record('entry', 2),
      processStartedMs: 5,
      toNodeId,
    }),
    listener: {
      onUp: () => undefined,
      onDown: () => undefined,
      onDoubtful: nodeId => void doubted.push(nodeId),
      onAnswer: (unusedId, answer) => void answers.push(answer.call),
      onRefusal: () => undefined,
      onPulse: () => undefined,
      onState: () => undefined,
      onSuspect: () => undefined,
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
    doubted,
    async [Symbol.asyncDispose]() {
      clearInterval(ticks);
      link[Symbol.dispose]();
      await relay[Symbol.asyncDispose]();
      await gate[Symbol.asyncDispose]();
    },
  };
}

function happens(condition: () => boolean, what: string): Promise<void> {
  return child.until(condition, 4_000, () => what);
}

test('a request is answered over the link', async () => {
  await using world = await connect();
  await happens(() => world.link.isUp, 'the link');
  world.link.dispatch(fixtures.dispatch({call: 1}));
  await happens(() => world.gate.dispatched.length === 1, 'the request');
  assert.deepEqual(world.gate.dispatched, ['entry@5/1']);
  world.gate.answer(1);
  await happens(() => world.answers.length === 1, 'the answer');
});

test('a request on a reset link is sent again under the same key', async () => {
  await using world = await connect();
  await happens(() => world.link.isUp, 'the link');
  world.link.dispatch(fixtures.dispatch({call: 1, repeatable: false}));
  await happens(() => world.gate.dispatched.length === 1, 'the request');
  world.relay.reset();
  await happens(() => world.gate.dispatched.length === 2, 'the repetition');
  assert.equal(world.gate.dispatched[0], world.gate.dispatched[1]);
  world.gate.answer(1);
  await happens(() => world.answers.length === 1, 'the answer');
  assert.deepEqual(world.lost, []);
});

test('a link that goes silent is replaced, with its requests', async () => {
  await using world = await connect();
  await happens(() => world.link.isUp, 'the link');
  world.link.dispatch(fixtures.dispatch({call: 1, repeatable: false}));
  await happens(() => world.gate.dispatched.length === 1, 'the request');
  world.relay.silence();
  await happens(() => world.gate.dispatched.length === 2, 'the repetition');
  world.gate.answer(1);
  await happens(() => world.answers.length === 1, 'the answer');
});

test('requests are lost, not sent again, when the gate is another process', async () => {
  await using world = await connect();
  await happens(() => world.link.isUp, 'the link');
  world.link.dispatch(fixtures.dispatch({call: 1, repeatable: false}));
  await happens(() => world.gate.dispatched.length === 1, 'the request');
  world.gate.processStartedMs++;
  world.relay.reset();
  await happens(() => world.lost.length === 1, 'the loss');
  assert.equal(world.gate.dispatched.length, 1);
});

test('another node at the address gets no request', async () => {
  await using world = await connect('someone-else');
  await happens(() => world.mismatches.length > 0, 'the mismatch');
  assert.equal(world.link.isUp, false);
});

test('a gate that hears no request is doubted before its link is given up', async () => {
  await using world = await connect();
  await happens(() => world.link.isUp, 'the link');
  world.relay.silence();
  const sentMs = clock.monotonicMs();
  world.link.dispatch(fixtures.dispatch({call: 1}));
  await happens(() => world.doubted.length === 1, 'the doubt');
  assert.ok(clock.monotonicMs() - sentMs < 300);
  assert.ok(world.link.isDoubtful && world.link.isUp);
});

test('a gate that runs a long request answers the question and is not doubted', async () => {
  await using world = await connect();
  await happens(() => world.link.isUp, 'the link');
  world.link.dispatch(fixtures.dispatch({call: 1}));
  await new Promise(resolve => setTimeout(resolve, 600));
  assert.deepEqual(world.doubted, []);
  world.gate.answer(1);
  await happens(() => world.answers.length === 1, 'the answer');
});
