import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as serving from '../../generated/serving.js';
import * as fixtures from './serving_fixtures.test.js';
import * as replyCache from './reply_cache.js';

const {test} = nodeTest;
const {Reason} = serving;

const LONG_MS = 30_000;

function answerOf(bytes: number): replyCache.Reply {
  const body = Buffer.alloc(bytes);
  const answer = serving.Answer.fromPartial({status: 200, body});
  return {kind: 'answer', answer};
}

function outcomeOf(reply: replyCache.Reply | undefined): string {
  if (reply === undefined) return 'not seen';
  if (reply.kind === 'answer') return 'answer';
  const {reason, mayHaveRun} = reply.refusal;
  return reason === Reason.BROKEN && mayHaveRun ? 'may have run' : 'refusal';
}

test('a request that is sent again just before its deadline does not run twice', () => {
  const harness = new fixtures.GateHarness().open();
  const overrides = {repeatable: false, timeLeftMs: LONG_MS};
  const key = harness.call(overrides, 0);
  harness.answered(key, 100);
  // Later requests cause expired replies to be removed.
  harness.answered(harness.call({}, 20_000), 20_100);
  harness.gate.onLinkLost(1, 25_000);
  harness.resend(key, 2, 29_000, {repeatable: false, timeLeftMs: 1_000});
  assert.equal(harness.output.runs.length, 2);
  assert.equal(harness.output.answers.length, 3);
});

test('a request that is read long after its deadline is not said to have not run', () => {
  const harness = new fixtures.GateHarness().open();
  const key = harness.call({repeatable: false}, 0);
  harness.answered(key, 100);
  harness.answered(harness.call({}, 60_000), 60_100);
  harness.resend(key, 2, 60_200, {repeatable: false, timeLeftMs: 1});
  assert.equal(harness.output.runs.length, 2);
  assert.deepEqual(harness.output.reasons, [Reason.BROKEN]);
  assert.equal(harness.output.refusals[0].mayHaveRun, true);
});

test('a request whose answer is no longer held is refused as one that may have run', () => {
  const harness = new fixtures.GateHarness().open();
  const key = harness.call({repeatable: false}, 0);
  harness.answered(key, 10, 200, Buffer.alloc(fixtures.REPLY_BYTES - 1));
  harness.answered(harness.call({}, 20), 30, 200, Buffer.alloc(2));
  harness.resend(key, 2, 40, {repeatable: false});
  assert.equal(harness.output.runs.length, 2);
  assert.deepEqual(harness.output.reasons, [Reason.BROKEN]);
  assert.equal(harness.output.refusals[0].mayHaveRun, true);
});

test('a late withdrawal does not turn a run into a refusal as not run', () => {
  const harness = new fixtures.GateHarness().open();
  const key = harness.call({repeatable: false}, 0);
  harness.answered(key, 10);
  harness.gate.onWithdraw(key, 20);
  harness.resend(key, 2, 30, {repeatable: false});
  assert.deepEqual(
    harness.output.refusals.map(({mayHaveRun}) => mayHaveRun),
    [true],
  );
});

test('answers make room for later ones, the oldest first', () => {
  const cache = new replyCache.ReplyCache({maxBytes: 100});
  cache.add('e/1', answerOf(60), LONG_MS, 0);
  cache.add('e/2', answerOf(30), LONG_MS, 0);
  cache.add('e/3', answerOf(30), LONG_MS, 0);
  const outcomes = ['e/1', 'e/2', 'e/3', 'e/4'].map(key =>
    outcomeOf(cache.get(key)),
  );
  assert.deepEqual(outcomes, ['may have run', 'answer', 'answer', 'not seen']);
});

test('memory of answers is free again once they have expired', () => {
  const cache = new replyCache.ReplyCache({maxBytes: 100});
  cache.add('e/1', answerOf(60), 1_000, 0);
  cache.add('e/2', answerOf(60), 20_000, 10_000);
  cache.add('e/3', answerOf(40), 20_000, 10_000);
  assert.equal(outcomeOf(cache.get('e/2')), 'answer');
});

test('beyond the maximum number of replies a request is still recognized', () => {
  const cache = new replyCache.ReplyCache({maxBytes: 100, maxReplies: 2});
  for (const key of ['e/1', 'f/1', 'e/2', 'e/3']) {
    cache.add(key, answerOf(1), LONG_MS, 0);
  }
  const outcomes = ['e/1', 'f/1', 'e/2', 'e/3', 'e/4', 'f/2'].map(key =>
    outcomeOf(cache.get(key)),
  );
  const [gone, held, unseen] = ['may have run', 'answer', 'not seen'];
  assert.deepEqual(outcomes, [gone, gone, held, held, unseen, unseen]);
});
