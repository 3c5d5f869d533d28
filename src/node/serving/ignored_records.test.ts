import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fixtures from '../../common/serving/serving_fixtures.test.js';
import * as ignoredRecords from './ignored_records.js';

const {test} = nodeTest;

test('a record that is read again and again is logged once per reason', () => {
  const log = new fixtures.RecordedLog();
  const ignored = new ignoredRecords.IgnoredRecords(log);
  for (let i = 0; i < 3; i++) ignored.note('node/a', new Error('odd'));
  ignored.note('node/a', new Error('odder'));
  ignored.note('x'.repeat(5_000), new Error('odd'));
  assert.deepEqual(
    log.decisions.map(({facts}) => facts),
    [
      {record: 'node/a', detail: 'odd'},
      {record: 'node/a', detail: 'odder'},
      {record: 'x'.repeat(100), detail: 'odd'},
    ],
  );
});

test('endless odd records fill neither the log nor the memory', () => {
  const log = new fixtures.RecordedLog();
  const ignored = new ignoredRecords.IgnoredRecords(log);
  for (let i = 0; i < 10_000; i++) ignored.note(`node/${i}`, new Error('odd'));
  assert.equal(log.decisions.length, 200);
});
