import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as serverStatement from './server_statement.js';

const {test} = nodeTest;

function statement(
  source: serverStatement.AnswerKind,
  limit: number | 'none' | 'malformed',
): serverStatement.ServerStatement {
  const stated: serverStatement.StatedLimit =
    limit === 'none'
      ? {kind: 'none'}
      : limit === 'malformed'
        ? {kind: 'malformed', text: '?'}
        : {kind: 'named', perSecond: limit};
  return {source, limit: stated, leaving: false};
}

function limitAfter(
  ...statements: readonly serverStatement.ServerStatement[]
): number | undefined {
  const limits = new serverStatement.LimitStatements();
  for (const s of statements) limits.apply(s, 0);
  return limits.perSecond;
}

test('a limit holds until an answer of a kind that named it does not name it', () => {
  assert.equal(limitAfter(statement('run', 2)), 2);
  assert.equal(
    limitAfter(statement('run', 2), statement('run', 'none')),
    undefined,
  );
  assert.equal(limitAfter(statement('run', 2), statement('health', 'none')), 2);
  assert.equal(
    limitAfter(
      statement('run', 2),
      statement('health', 2),
      statement('health', 'none'),
    ),
    undefined,
  );
});

test('a malformed limit changes nothing', () => {
  assert.equal(
    limitAfter(statement('run', 2), statement('run', 'malformed')),
    2,
  );
  assert.equal(limitAfter(statement('run', 'malformed')), undefined);
});

/** A server that named a limit before this process was paused until 1 s. */
function limitsAfterPause(perSecond: number): serverStatement.LimitStatements {
  const limits = new serverStatement.LimitStatements();
  limits.apply(statement('run', perSecond), 0);
  limits.onResumed(1_000);
  return limits;
}

// The backlog of a pause went to a server that had lowered its limit meanwhile.
test('after a pause few requests are sent until an answer tells the limit', () => {
  const limits = limitsAfterPause(40);
  assert.equal(limits.perSecond, 4);
  assert.equal(limits.named, 40);
  limits.apply(statement('run', 40), 1_000);
  assert.equal(limits.perSecond, 40);
});

test('a limit that is lower than after a pause stays', () => {
  assert.equal(limitsAfterPause(1.5).perSecond, 1.5);
});

test('answers from before a pause, and checks that name no limit, do not tell it', () => {
  const limits = limitsAfterPause(40);
  limits.apply(statement('run', 30), 999);
  limits.apply(statement('health', 'none'), 1_100);
  assert.equal(limits.perSecond, 4);
  limits.apply(statement('health', 0), 1_200);
  assert.equal(limits.perSecond, 0);
});

test('a withdrawn limit counts as unknown after a pause', () => {
  const limits = new serverStatement.LimitStatements();
  limits.apply(statement('run', 2), 0);
  limits.apply(statement('run', 'none'), 100);
  limits.onResumed(1_000);
  assert.equal(limits.perSecond, 4);
  limits.apply(statement('shed', 'none'), 1_000);
  assert.equal(limits.perSecond, undefined);
});

test('a server that named no limit gets all requests after a pause', () => {
  const limits = new serverStatement.LimitStatements();
  limits.apply(statement('run', 'none'), 0);
  limits.onResumed(1_000);
  assert.equal(limits.perSecond, undefined);
});
