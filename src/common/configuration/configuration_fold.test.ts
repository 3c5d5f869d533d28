import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as changes from '../../../test/fakes/changes.js';
import * as generated from '../../generated/configuration.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as configurationFold from './configuration_fold.js';

function newFold(): configurationFold.ConfigurationFold {
  const count = new counters.MemoryCounters();
  return new configurationFold.ConfigurationFold(
    new invariants.Invariants(count),
    count,
  );
}

function couvaOutException(id: string): generated.Exception {
  return {
    id,
    kind: 'data-centre-out',
    dataCentre: 'couva',
    reason: 'power work',
    author: 'ana',
    timeMs: 1,
  };
}

nodeTest.test(
  'the second of two changes on the same base is rejected by the first',
  () => {
    const fold = newFold();
    fold.foldChange(changes.replacement('a', 0, 100), 0);
    fold.foldChange(changes.replacement('b', 1, 200), 1);
    fold.foldChange(changes.replacement('c', 1, 300), 2);
    assert.equal(fold.revision, 2);
    assert.equal(fold.configuration?.document.defaults.progressTimeoutMs, 200);
    assert.deepEqual(fold.outcomeOf('c'), {
      changeId: 'c',
      accepted: false,
      revision: 2,
      rejectedBy: 'b',
    });
  },
);

nodeTest.test('a change appended twice keeps its first outcome', () => {
  const fold = newFold();
  fold.foldChange(changes.replacement('a', 0), 0);
  fold.foldChange(changes.replacement('a', 0), 1);
  assert.equal(fold.revision, 1);
  assert.equal(fold.outcomeOf('a')?.accepted, true);
});

nodeTest.test('operations that are not applicable are rejected', () => {
  const fold = newFold();
  const exception = couvaOutException('x');
  const add = {kind: 'add-exception', exception};
  fold.foldChange(changes.change('early', 0, add), 0);
  fold.foldChange(changes.replacement('a', 0), 1);
  fold.foldChange(changes.change('b', 1, add), 2);
  fold.foldChange(changes.change('twice', 2, add), 3);
  fold.foldChange(
    changes.change('absent', 2, {kind: 'remove-exception', id: 'y'}),
    4,
  );
  fold.foldChange(changes.change('bad', 2, {kind: 'set-fire'}), 5);
  fold.foldChange(
    changes.change('c', 2, {kind: 'remove-exception', id: 'x'}),
    6,
  );
  assert.equal(fold.revision, 3);
  assert.equal(fold.configuration?.isDataCentreOut('couva'), false);
  const accepted = ['early', 'a', 'b', 'twice', 'absent', 'bad', 'c'].filter(
    id => fold.outcomeOf(id)?.accepted,
  );
  assert.deepEqual(accepted, ['a', 'b', 'c']);
});

nodeTest.test(
  'without the first log records, changes are kept until a snapshot that misses none of them',
  () => {
    const whole = newFold();
    whole.foldChange(changes.replacement('a', 0, 100), 0);
    const stale = whole.snapshot(0);
    whole.foldChange(changes.replacement('b', 1, 200), 1);
    const recent = whole.snapshot(1);
    whole.foldChange(changes.replacement('c', 2, 300), 2);

    const late = newFold();
    late.skipTo(2);
    late.foldChange(changes.replacement('c', 2, 300), 2);
    late.foldSnapshot(stale);
    assert.equal(late.complete, false);
    assert.equal(late.revision, 0);
    late.foldSnapshot(recent);
    assert.equal(late.complete, true);
    assert.deepEqual(late.snapshot(2), whole.snapshot(2));
  },
);

nodeTest.test('a stale snapshot is ignored', () => {
  const fold = newFold();
  fold.foldChange(changes.replacement('a', 0, 100), 0);
  const stale = fold.snapshot(0);
  fold.foldChange(changes.replacement('b', 1, 200), 1);
  fold.foldSnapshot(stale);
  assert.equal(fold.revision, 2);
  assert.equal(fold.configuration?.document.defaults.progressTimeoutMs, 200);
});

nodeTest.test(
  'adopting a configuration with a lower revision breaches an invariant',
  () => {
    const fold = newFold();
    fold.foldChange(changes.replacement('a', 0, 100), 0);
    const stale = fold.snapshot(0);
    fold.foldChange(changes.replacement('b', 1, 200), 1);
    assert.throws(() => fold.adopt(stale), /would replace/);
  },
);
