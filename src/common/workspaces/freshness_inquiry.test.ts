import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as freshnessInquiry from './freshness_inquiry.js';
import * as freshnessProof from './freshness_proof.js';

const {test} = nodeTest;

const BOUND_MS = 5_000;

function proofOf(ageMs: number): freshnessProof.ProofState {
  return {kind: 'valid', ageMs, position: {era: 1, offset: 1}};
}

const NO_PROOF: freshnessProof.ProofState = {kind: 'none', loss: 'start'};

/** Ticks every 50 ms; `answers` tells who answers at once. */
function setUp(
  peers: readonly string[],
  answers: readonly string[],
  reads = false,
) {
  const asked: string[] = [];
  let nowMs = 0;
  const inquiry = new freshnessInquiry.FreshnessInquiry({
    boundMs: BOUND_MS,
    readsOften: () => reads,
    peers: () => peers,
    ask: (nodeId, question) => {
      asked.push(nodeId);
      if (answers.includes(nodeId)) {
        queueMicrotask(() => inquiry.onAnswer(nodeId, question));
      }
    },
  });
  const run = async (
    ms: number,
    state: freshnessProof.ProofState,
  ): Promise<readonly string[]> => {
    asked.length = 0;
    for (const untilMs = nowMs + ms; nowMs < untilMs; nowMs += 50) {
      inquiry.tick(state, {monotonicMs: nowMs, epochMs: nowMs});
      await Promise.resolve();
    }
    return [...asked];
  };
  return {inquiry, run};
}

test('a young proof is not renewed, an older one once a second by the same peer', async () => {
  const {run} = setUp(['a', 'b'], ['a', 'b']);
  assert.deepEqual(await run(2_000, proofOf(900)), []);
  assert.deepEqual(await run(3_000, proofOf(1_500)), ['a', 'a', 'a']);
});

test('a node that reads the store often asks only when its reads fail', async () => {
  const {run} = setUp(['a'], ['a'], true);
  assert.deepEqual(await run(2_000, proofOf(2_500)), []);
  assert.notDeepEqual(await run(1_000, proofOf(3_100)), []);
});

// A silent peer must not cost the proof: the next one is asked long before the bound.
test('the next peer is asked when one does not answer', async () => {
  const {run} = setUp(['a', 'b', 'c'], ['c']);
  assert.deepEqual(await run(900, proofOf(1_500)), ['a', 'b', 'c']);
});

test('without a proof all peers are asked at once and again', async () => {
  const {run} = setUp(['a', 'b', 'c'], ['a', 'b', 'c']);
  assert.deepEqual(await run(200, NO_PROOF), ['a', 'b', 'c']);
  assert.deepEqual((await run(1_000, NO_PROOF)).length, 12);
});

test('an answer after the next question, or of another peer, is not taken', () => {
  const questions: number[] = [];
  const inquiry = new freshnessInquiry.FreshnessInquiry({
    boundMs: BOUND_MS,
    readsOften: () => false,
    peers: () => ['a', 'b'],
    ask: (nodeId, question) => void questions.push(question),
  });
  inquiry.tick(NO_PROOF, {monotonicMs: 0, epochMs: 0});
  inquiry.tick(NO_PROOF, {monotonicMs: 300, epochMs: 300});
  const [first, second] = questions;
  assert.equal(inquiry.onAnswer('a', first), undefined);
  assert.equal(inquiry.onAnswer('a', second), undefined);
  assert.equal(inquiry.onAnswer('b', second)?.monotonicMs, 300);
  assert.equal(inquiry.onAnswer('b', second), undefined);
});
