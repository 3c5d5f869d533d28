import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as entryContract from '../../src/common/entry/entry_contract.js';
import * as randomSource from '../../src/common/random_source.js';
import * as peer from '../../src/generated/peer.js';
import * as virtualServiceAudit from './virtual_service_audit.js';
import * as virtualServiceClock from './virtual_service_clock.js';
import * as virtualServiceNode from './virtual_service_node.js';
import * as virtualServiceRunner from './virtual_service_runner.js';
import * as virtualServiceServer from './virtual_service_server.js';

const SLOTS = 4;

function warmServer(
  clock: virtualServiceClock.VirtualClock,
): virtualServiceServer.VirtualServer {
  const random = new randomSource.SeededRandom(1);
  return new virtualServiceServer.VirtualServer(
    {slots: SLOTS, medianMs: 10},
    clock,
    random,
  );
}

function request(): entryContract.CallerRequest {
  return {
    requestId: 'r1',
    service: 'stock',
    requestClass: {
      name: 'a',
      kind: 'interactive',
      deadlineMs: 100,
      idempotent: false,
      maxAttempts: 2,
      hedgeAfterMs: 0,
    },
    method: 'POST',
    path: '/stock',
    headers: [],
    body: Buffer.from('r1'),
    deadlineMs: 100,
    depth: 0,
    fingerprint: 'r1',
  };
}

function refusal(outcome: peer.Outcome): virtualServiceNode.FinalResult {
  const detail = peer.CallRefusal.create({outcome});
  return {kind: 'refuse', requestId: 'r1', refusal: detail, attempts: 1};
}

function answer(body: Buffer): virtualServiceNode.FinalResult {
  const detail = peer.CallAnswer.create({status: 200, body});
  return {
    kind: 'respond',
    requestId: 'r1',
    answer: detail,
    servedBy: 'a',
    attempts: 1,
  };
}

const NODE = {
  nodeId: 'a',
  resumedAtMs: 0,
  server: undefined,
} as virtualServiceNode.VirtualNode;

interface AuditFixture {
  readonly clock: virtualServiceClock.VirtualClock;
  readonly audit: virtualServiceAudit.Audit;
  run(): void;
}

function createAuditFixture(): AuditFixture {
  const clock = new virtualServiceClock.VirtualClock();
  const audit = new virtualServiceAudit.Audit(() => clock.nowMs);
  audit.onSubmit(NODE, request(), false);
  const call = peer.CallRequest.create({callId: 'r1.1'});
  return {clock, audit, run: () => audit.onRun(NODE, call)};
}

nodeTest.test('tasks run by due time, then in the order of scheduling', () => {
  const clock = new virtualServiceClock.VirtualClock();
  const seen: string[] = [];
  clock.after(2, () => seen.push('c'));
  clock.after(1, () => seen.push('a'));
  clock.after(1, () => seen.push('b'));
  clock.runUntil(1.5);
  assert.deepEqual(seen, ['a', 'b']);
  clock.runUntil(3);
  assert.deepEqual(seen, ['a', 'b', 'c']);
  assert.equal(clock.nowMs, 3);
});

nodeTest.test('a slowed server takes longer by the given factor', () => {
  const finishedAt = (factor: number): number => {
    const clock = new virtualServiceClock.VirtualClock();
    const server = warmServer(clock);
    let atMs = 0;
    server.begin(() => (atMs = clock.nowMs));
    server.slow(factor, 10_000);
    clock.runUntil(10_000);
    return atMs;
  };
  const ratio = finishedAt(5) / finishedAt(1);
  assert.ok(Math.abs(ratio - 5) < 0.001, `${ratio}`);
});

nodeTest.test('a cold server counts runs above its capacity', () => {
  const clock = new virtualServiceClock.VirtualClock();
  const server = warmServer(clock);
  server.turnCold(4_000, true);
  server.begin(() => undefined);
  assert.equal(server.coldBreaches, 0);
  server.begin(() => undefined);
  assert.equal(server.coldBreaches, 1);
  clock.runUntil(5_000);
  assert.equal(server.capacity, SLOTS);
});

nodeTest.test(
  'a crash breaks the runs in progress and refuses new ones',
  () => {
    const clock = new virtualServiceClock.VirtualClock();
    const server = warmServer(clock);
    const seen: string[] = [];
    server.begin(r => seen.push(r.kind));
    server.crash();
    server.begin(r => seen.push(r.kind));
    clock.runUntil(1_000);
    assert.deepEqual(seen, ['broken', 'not-sent']);
  },
);

nodeTest.test(
  'the audit reports a false not-run before and after the run',
  () => {
    const before = createAuditFixture();
    before.run();
    before.audit.onFinal('r1', refusal(peer.Outcome.NOT_RUN));
    assert.deepEqual(before.audit.counts(), {'false-not-run': 1});
    const after = createAuditFixture();
    after.audit.onFinal('r1', refusal(peer.Outcome.NOT_RUN));
    after.run();
    assert.deepEqual(after.audit.counts(), {'false-not-run': 1});
  },
);

nodeTest.test(
  'the audit reports second runs, and second, late, missing and foreign answers',
  () => {
    const twice = createAuditFixture();
    twice.run();
    twice.run();
    twice.audit.onFinal(
      'r1',
      answer(virtualServiceRunner.answerTo(Buffer.from('r1'))),
    );
    twice.audit.onFinal(
      'r1',
      answer(virtualServiceRunner.answerTo(Buffer.from('r1'))),
    );
    assert.deepEqual(twice.audit.counts(), {'ran-twice': 1, 'two-finals': 1});
    const foreign = createAuditFixture();
    foreign.clock.runUntil(1_000);
    foreign.audit.onFinal(
      'r1',
      answer(virtualServiceRunner.answerTo(Buffer.from('r2'))),
    );
    assert.deepEqual(foreign.audit.counts(), {
      'late-final': 1,
      'foreign-answer': 1,
    });
    const missing = createAuditFixture();
    missing.clock.runUntil(1_000);
    missing.audit.finish([]);
    assert.deepEqual(missing.audit.counts(), {'no-final': 1});
  },
);

nodeTest.test(
  'the audit reports new work on a node taken out too long ago',
  () => {
    const fixture = createAuditFixture();
    fixture.audit.onTakenOut('a');
    fixture.clock.runUntil(virtualServiceAudit.OUT_GRACE_MS + 1);
    fixture.run();
    assert.deepEqual(fixture.audit.counts(), {'work-into-out': 1});
  },
);
