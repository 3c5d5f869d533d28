import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as incompleteDocument from './incomplete_document.js';

const {test} = nodeTest;

const DOCUMENT = '// Settings }\n{"a": [1, {"b": "}\\"]"}], /* } */ "c": true}';

test('each beginning of a document is incomplete', () => {
  for (let length = 0; length < DOCUMENT.length; length++) {
    const text = DOCUMENT.slice(0, length);
    assert.equal(incompleteDocument.isIncomplete(text), true, text);
  }
});

test('a document that ends is whole, also with faults', () => {
  for (const text of [DOCUMENT, `${DOCUMENT}\n`, '{"a" 1}', '{}}', '7']) {
    assert.equal(incompleteDocument.isIncomplete(text), false, text);
  }
});
