import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as incompleteDocument from './incomplete_document.js';

const {test} = nodeTest;

test('a document is incomplete while a comment behind it has no end', () => {
  const text = '{"a": 1} /* b */';
  for (const beginning of [text.slice(0, 11), text.slice(0, -1)]) {
    assert.equal(incompleteDocument.isIncomplete(beginning), true, beginning);
  }
  assert.equal(incompleteDocument.isIncomplete(text), false);
});
