import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as configuration from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as retryPolicy from './retry_policy.js';

const {RefusalReason, Outcome} = peer;

function state(
  fields: Partial<retryPolicy.RetryState> = {},
  requestClass: Partial<configuration.RequestClass> = {},
): retryPolicy.RetryState {
  return {
    requestClass: {
      name: 'c',
      kind: 'interactive',
      deadlineMs: 500,
      idempotent: true,
      maxAttempts: 3,
      hedgeAfterMs: 0,
      ...requestClass,
    },
    reason: RefusalReason.NO_ROOM,
    outcome: Outcome.NOT_RUN,
    allNotRun: true,
    attempts: 1,
    redirects: 0,
    possibleRuns: 0,
    retriesLeft: 2,
    hasUntriedMember: true,
    timeLeftMs: 400,
    ...fields,
  };
}

const FAILED: Partial<retryPolicy.RetryState> = {
  reason: RefusalReason.SERVER_FAILED,
  outcome: Outcome.UNKNOWN,
  allNotRun: false,
  possibleRuns: 1,
};

const GIVE_UP = {kind: 'give-up'};

nodeTest.test(
  'a request that may have run is retried only if idempotent',
  () => {
    const again = {kind: 'again', cost: 'retry'};
    assert.deepEqual(retryPolicy.decide(state(FAILED)), again);
    const once = state(FAILED, {idempotent: false});
    assert.deepEqual(retryPolicy.decide(once), GIVE_UP);
  },
);

nodeTest.test(
  'executions are bounded by the class and by the call chain',
  () => {
    const runs = state({...FAILED, possibleRuns: 3});
    assert.deepEqual(retryPolicy.decide(runs), GIVE_UP);
    const chain = state({...FAILED, retriesLeft: 0});
    assert.deepEqual(retryPolicy.decide(chain), GIVE_UP);
  },
);

nodeTest.test('a full gate costs a redirection, an absent one nothing', () => {
  const full = retryPolicy.decide(state());
  assert.deepEqual(full, {kind: 'again', cost: 'redirect'});
  const absent = retryPolicy.decide(state({reason: RefusalReason.LEAVING}));
  assert.deepEqual(absent, {kind: 'again', cost: 'none'});
});

nodeTest.test('redirections are bounded unless the class must arrive', () => {
  const many = {redirects: 3, attempts: 4};
  assert.deepEqual(retryPolicy.decide(state(many)), GIVE_UP);
  const mustArrive = retryPolicy.decide(state(many, {kind: 'must-arrive'}));
  assert.equal(mustArrive.kind, 'again');
});

nodeTest.test('with all members tried only must-arrive classes wait', () => {
  const tried = {hasUntriedMember: false};
  assert.deepEqual(retryPolicy.decide(state(tried)), GIVE_UP);
  const mustArrive = retryPolicy.decide(state(tried, {kind: 'must-arrive'}));
  assert.deepEqual(mustArrive, {kind: 'wait'});
});

nodeTest.test('a quarantined request is not tried again', () => {
  const quarantined = state({reason: RefusalReason.QUARANTINED});
  assert.deepEqual(retryPolicy.decide(quarantined), GIVE_UP);
});

nodeTest.test('no attempt starts just before the deadline', () => {
  assert.deepEqual(retryPolicy.decide(state({timeLeftMs: 4})), GIVE_UP);
});

nodeTest.test(
  'backoff grows, honours retry-after and ends before the deadline',
  () => {
    assert.equal(retryPolicy.backoffMs(0, 0, 1_000, 0), 20);
    assert.equal(retryPolicy.backoffMs(2, 0, 1_000, 0), 80);
    assert.equal(retryPolicy.backoffMs(0, 300, 1_000, 0), 300);
    assert.equal(retryPolicy.backoffMs(0, 300, 100, 0), 50);
    assert.equal(retryPolicy.backoffMs(0, 0, 4, 0), undefined);
  },
);
