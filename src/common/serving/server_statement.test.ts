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
  for (const s of statements) limits.apply(s);
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
