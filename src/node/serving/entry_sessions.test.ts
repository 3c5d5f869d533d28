import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as bodyMemory from '../../common/serving/body_memory.js';
import * as fixtures from '../../common/serving/serving_fixtures.test.js';
import * as serving from '../../generated/serving.js';
import * as child from '../../../test/paths/child.js';
import * as clock from '../clock.js';
import * as framedSocket from '../framed_socket.js';
import * as entrySessions from './entry_sessions.js';
import * as linkFrame from './link_frame.js';

/** Id of the only session. */
const LINK_ID = 1;

const LONG_BODY = Buffer.alloc(1024 * 1024);

function greeting(nodeId: string, acceptsParts: boolean): serving.Greeting {
  const sender = serving.NodeRecord.fromPartial({nodeId});
  return serving.Greeting.fromPartial({
    sender,
    processStartedMs: 1,
    toNodeId: 'gate',
    acceptsParts,
  });
}

/** A gate with sessions whose load counts the pulses made. */
function createSessions(
  onGreeting: () => void,
  limits: Pick<
    entrySessions.EntrySessionsOptions,
    'bodyMemory' | 'maxGreetings' | 'onRefused'
  > = {},
): entrySessions.EntrySessions {
  let pulses = 0;
  return new entrySessions.EntrySessions({
    ...limits,
    waitedMs: () => 0,
    nowMs: clock.monotonicMs,
    greeting: () => greeting('gate', true),
    pulse: () =>
      serving.Pulse.fromPartial({load: fixtures.load({running: ++pulses})}),
    state: () => serving.FleetState.fromPartial({}),
    freshness: question => serving.FreshnessProof.fromPartial({question}),
    nodeCount: () => 2,
    listener: {
      onGreeting,
      onNotice: () => undefined,
      onDispatch: () => undefined,
      onTokenRequest: ({number}) => ({number, grants: []}),
      onTurnedAway: () => undefined,
      onWithdraw: () => undefined,
      onLinkLost: () => undefined,
    },
  });
}

/** Returns the frames that an entry gets of a gate that sends an answer, then a pulse. */
async function receivedByEntry(
  body: Buffer,
  acceptsParts: boolean,
): Promise<readonly serving.NodeFrame[]> {
  const load = fixtures.load({running: 0});
  const value = serving.Answer.fromPartial({call: 1, body, load});
  await using sessions = createSessions(() => {
    sessions.send(LINK_ID, {$case: 'answer', value});
    sessions.pulseAll();
  });
  const [port] = await child.freePorts(1);
  await sessions.listen({ip: '127.0.0.1', port});
  return await receiveUntil(port, acceptsParts, frames => {
    const kinds = frames.map(frame => frame.body?.$case);
    return kinds.includes('answer') && kinds.lastIndexOf('pulse') > 1;
  });
}

function receiveUntil(
  port: number,
  acceptsParts: boolean,
  isComplete: (frames: readonly serving.NodeFrame[]) => boolean,
): Promise<readonly serving.NodeFrame[]> {
  const frames: serving.NodeFrame[] = [];
  return new Promise((resolve, reject) => {
    const socket = linkFrame.wrapSocket(
      net.connect({host: '127.0.0.1', port}),
      'gate',
      {
        onConnect: () => {
          const value = greeting('entry', acceptsParts);
          socket.send({body: {$case: 'greeting', value}});
        },
        onFrame: frame => {
          frames.push(frame);
          if (isComplete(frames)) resolve(frames);
        },
        onMalformed: () => undefined,
        onClose: () => reject(new Error('connection closed')),
      },
    );
  });
}

/** Running requests in the loads that an entry gets, in order. */
function loadsIn(
  frames: readonly serving.NodeFrame[],
): readonly (number | undefined)[] {
  return frames.flatMap(({body}) =>
    body?.$case === 'pulse' || body?.$case === 'answer'
      ? [body.value.load?.running]
      : [],
  );
}

nodeTest.test(
  'a pulse that overtakes a long answer is not replaced by an older load',
  async () => {
    const frames = await receivedByEntry(LONG_BODY, true);
    assert.equal(frames[0].body?.$case, 'greeting');
    assert.deepEqual(loadsIn(frames), [1, 2, 3, undefined]);
  },
);

nodeTest.test('a short answer brings its load', async () => {
  const frames = await receivedByEntry(Buffer.alloc(100), true);
  assert.deepEqual(loadsIn(frames), [1, 0, 2]);
});

nodeTest.test(
  'a long answer arrives in order at an entry that does not join parts',
  async () => {
    const frames = await receivedByEntry(LONG_BODY, false);
    assert.deepEqual(loadsIn(frames), [1, 0, 2]);
  },
);

interface HandledMessage {
  readonly what: string;
  readonly delayMs?: number;
}

/** Times of an entry's clock. */
const GREETED_MS = 10_000;
const HELD_UP_MS = 2_000;

/**
 * Sends a request that was held up, and what the entry sends behind it; returns what the gate
 * handles, in order, with the time for which it takes the request to have been held up.
 *
 * @param replyDelayMs time for which the entry's reply to a ping is held up.
 */
async function handledLate(
  withdraws: boolean,
  replyDelayMs = 0,
): Promise<readonly HandledMessage[]> {
  const handled: HandledMessage[] = [];
  await using sessions = new entrySessions.EntrySessions({
    waitedMs: () => 0,
    nowMs: clock.monotonicMs,
    greeting: () => greeting('gate', true),
    pulse: () => serving.Pulse.fromPartial({}),
    state: () => serving.FleetState.fromPartial({}),
    freshness: question => serving.FreshnessProof.fromPartial({question}),
    nodeCount: () => 2,
    listener: {
      onGreeting: () => undefined,
      onNotice: () => undefined,
      onDispatch: (unusedKey, unusedLink, unusedDispatch, {delayMs}) =>
        handled.push({what: 'dispatch', delayMs}),
      onTokenRequest: ({number}) => ({number, grants: []}),
      onTurnedAway: () => undefined,
      onWithdraw: () => handled.push({what: 'withdraw'}),
      onLinkLost: () => undefined,
    },
  });
  const [port] = await child.freePorts(1);
  await sessions.listen({ip: '127.0.0.1', port});
  let greetedAtMs = 0;
  const entry = linkFrame.wrapSocket(
    net.connect({host: '127.0.0.1', port}),
    'gate',
    {
      onConnect: () => {
        greetedAtMs = clock.monotonicMs();
        const value = greeting('entry', true);
        entry.send({body: {$case: 'greeting', value}, sentMs: GREETED_MS});
        const sentMs = GREETED_MS - HELD_UP_MS;
        const dispatch = serving.Dispatch.fromPartial({call: 1});
        entry.send({body: {$case: 'dispatch', value: dispatch}, sentMs});
      },
      onFrame: ({body}) => {
        if (body?.$case !== 'ping') return;
        const sentMs = GREETED_MS + clock.monotonicMs() - greetedAtMs;
        const withdraw = {$case: 'withdraw', value: {call: 1}} as const;
        assert.deepEqual(handled, []);
        if (withdraws) {
          const withdrawnMs = Math.floor(sentMs - HELD_UP_MS / 2);
          entry.send({body: withdraw, sentMs: withdrawnMs});
        }
        const ping = {$case: 'ping', value: {}} as const;
        const reply = {body: ping, sentMs: Math.floor(sentMs)};
        setTimeout(() => entry.send(reply), replyDelayMs);
      },
      onMalformed: () => undefined,
      onClose: () => undefined,
    },
  );
  await child.waitUntil(
    () => handled.some(({what}) => what === 'dispatch'),
    2_000,
    () => 'the request to be handled',
  );
  entry[Symbol.dispose]();
  return handled;
}

nodeTest.test(
  'a request that was held up is handled after its withdrawal',
  async () => {
    const handled = await handledLate(true);
    assert.deepEqual(
      handled.map(({what}) => what),
      ['withdraw', 'dispatch'],
    );
  },
);

nodeTest.test(
  'a request that was held up has that much less time',
  async () => {
    const [{delayMs = 0}] = await handledLate(false);
    assert.ok(delayMs >= HELD_UP_MS && delayMs < HELD_UP_MS + 500);
  },
);

// While a link stays slow, the reply to the gate's ping is as late as the request was.
nodeTest.test(
  'a request on a link that stays slow is handled once its entry has replied',
  async () => {
    const handled = await handledLate(false, 500);
    assert.deepEqual(
      handled.map(({what}) => what),
      ['dispatch'],
    );
  },
);

/** Opens a link that sends the beginning of a long request. */
function sendBeginning(port: number, totalBytes: number): Disposable {
  const socket = linkFrame.wrapSocket(
    net.connect({host: '127.0.0.1', port}),
    'gate',
    {
      onConnect: () => {
        const value = greeting('entry', true);
        socket.send({body: {$case: 'greeting', value}});
        const part = serving.Part.fromPartial({
          message: 1,
          content: Buffer.alloc(100),
          totalBytes,
        });
        socket.send({body: {$case: 'part', value: part}});
      },
      onFrame: () => undefined,
      onMalformed: () => undefined,
      onClose: () => undefined,
    },
  );
  return socket;
}

// A link that goes silent within a body would hold its memory until it is closed as idle.
nodeTest.test(
  'a link that replaces another one takes over the memory of its long requests',
  async () => {
    const memory = new bodyMemory.BodyMemory(10 * LONG_BODY.length);
    await using sessions = createSessions(() => undefined, {
      bodyMemory: memory,
    });
    const [port] = await child.freePorts(1);
    await sessions.listen({ip: '127.0.0.1', port});
    const holds = (bytes: number): Promise<void> =>
      child.waitUntil(
        () => memory.usedBytes === bytes,
        2_000,
        () => `${bytes} bytes to be held, not ${memory.usedBytes}`,
      );
    using unusedSilent = sendBeginning(port, LONG_BODY.length);
    await holds(LONG_BODY.length);
    const replacement = sendBeginning(port, 2 * LONG_BODY.length);
    await holds(2 * LONG_BODY.length);
    replacement[Symbol.dispose]();
    await holds(0);
  },
);

/** Sends what an entry says on a link that stays slow, by a clock of the gate set by the test. */
class SlowLink implements AsyncDisposable {
  private gateMs = 0;
  private readonly handled: string[] = [];
  private replies = 0;
  private readonly sessions = new entrySessions.EntrySessions({
    waitedMs: () => 0,
    nowMs: () => this.gateMs,
    greeting: () => greeting('gate', true),
    pulse: () => serving.Pulse.fromPartial({}),
    state: () => serving.FleetState.fromPartial({}),
    freshness: question => serving.FreshnessProof.fromPartial({question}),
    nodeCount: () => 2,
    listener: {
      onGreeting: () => undefined,
      onNotice: () => undefined,
      onDispatch: () => this.handled.push('dispatch'),
      onTokenRequest: ({number}) => ({number, grants: []}),
      onTurnedAway: () => undefined,
      onWithdraw: () => undefined,
      onLinkLost: () => undefined,
    },
  });
  private entry: framedSocket.FramedSocket<serving.NodeFrame> | undefined;

  /** Connects and sends a greeting that is not held up, at the same time on both clocks. */
  async open(): Promise<void> {
    const [port] = await child.freePorts(1);
    await this.sessions.listen({ip: '127.0.0.1', port});
    const socket = net.connect({host: '127.0.0.1', port});
    this.entry = linkFrame.wrapSocket(socket, 'gate', {
      onConnect: () => undefined,
      onFrame: ({body}) => {
        if (body?.$case !== 'greeting') this.replies++;
      },
      onMalformed: () => undefined,
      onClose: () => undefined,
    });
    const value = greeting('entry', true);
    await this.send({$case: 'greeting', value}, {sentMs: 0, readMs: 0});
  }

  /** Sends a frame and returns what the gate has handled once it has replied. */
  async send(
    body: serving.NodeFrame['body'],
    {sentMs, readMs}: {readonly sentMs: number; readonly readMs: number},
  ): Promise<readonly string[]> {
    const before = this.replies;
    this.gateMs = readMs;
    this.entry?.send({body, sentMs: Math.floor(sentMs)});
    await child.waitUntil(
      () => this.replies > before,
      5_000,
      () => 'a reply of the gate',
    );
    return this.handled;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.entry?.[Symbol.dispose]();
    await this.sessions[Symbol.asyncDispose]();
  }
}

const PING = {$case: 'ping', value: {}} as const;

/** A request, read 500 ms after it was sent and between two milliseconds of the clock. */
const REQUEST = {
  $case: 'dispatch',
  value: serving.Dispatch.fromPartial({call: 1}),
} as const;
const REQUEST_TIMES = {sentMs: 1_000, readMs: 1_500.8} as const;

for (const {title, sentMs} of [
  {title: 'in the millisecond in which it was read', sentMs: 1_500.9},
  {title: 'by a clock that has lost two milliseconds', sentMs: 1_498.9},
]) {
  nodeTest.test(`a late request is released by a reply ${title}`, async () => {
    await using link = new SlowLink();
    await link.open();
    assert.deepEqual(await link.send(REQUEST, REQUEST_TIMES), []);
    const handled = await link.send(PING, {sentMs, readMs: 2_000.9});
    assert.deepEqual(handled, ['dispatch']);
  });
}

nodeTest.test(
  'a late request is not released by a message sent before it was read',
  async () => {
    await using link = new SlowLink();
    await link.open();
    assert.deepEqual(await link.send(REQUEST, REQUEST_TIMES), []);
    const times = {sentMs: 1_490, readMs: 2_000.9};
    assert.deepEqual(await link.send(PING, times), []);
  },
);

/** Connects clients that act instead of sending a greeting; returns why the gate refuses them. */
async function refusalsOf(
  actions: ReadonlyArray<(socket: net.Socket) => void>,
  maxGreetings?: number,
): Promise<readonly string[]> {
  const reasons: string[] = [];
  await using sessions = createSessions(() => undefined, {
    maxGreetings,
    onRefused: reason => reasons.push(reason),
  });
  const [port] = await child.freePorts(1);
  await sessions.listen({ip: '127.0.0.1', port});
  const closed = actions.map(act => {
    const socket = net.connect({host: '127.0.0.1', port}, () => act(socket));
    socket.on('error', () => undefined);
    return new Promise(resolve => socket.once('close', resolve));
  });
  await child.withTimeout(Promise.all(closed), 10_000, 'all to be closed');
  return reasons.sort();
}

nodeTest.test('a greeting whose bytes trickle is not waited for', async () => {
  const timers: NodeJS.Timeout[] = [];
  const refusals = await refusalsOf([
    socket => {
      socket.write('\0\0\x10\0');
      timers.push(setInterval(() => socket.write('\0'), 50));
    },
  ]);
  for (const timer of timers) clearInterval(timer);
  assert.deepEqual(refusals, ['greeting not complete']);
});

nodeTest.test('a long frame before a greeting is not read whole', async () => {
  const frame = Buffer.alloc(8 * 1024 * 1024);
  frame.writeUInt32BE(64 * 1024 * 1024);
  const refusals = await refusalsOf([socket => void socket.write(frame)]);
  assert.deepEqual(refusals, ['greeting too long']);
});

nodeTest.test(
  'the oldest connections without a greeting make room',
  async () => {
    const idle = (): void => undefined;
    const refusals = await refusalsOf([idle, idle, idle], 2);
    const late = 'greeting not complete';
    assert.deepEqual(refusals, [late, late, 'too many connections']);
  },
);
