import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as knownRed from './known_red.js';

nodeTest.test('parses entries and skips comments', () => {
  const entries = knownRed.parseKnownRed(
    '# list\n\na.test.js > t | npm test | seen | #5\n',
  );
  assert.deepEqual(entries, [
    {test: 'a.test.js > t', command: 'npm test', seen: 'seen', issue: '#5'},
  ]);
});

nodeTest.test('rejects an entry without an issue', () => {
  assert.throws(() => knownRed.parseKnownRed('a | b | c'), /four fields/);
});
