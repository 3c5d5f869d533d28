import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as operatorIntent from './operator_intent.js';
import * as fixtures from './serving_fixtures.test.js';

const {test} = nodeTest;

const SEED = Number(process.env['SEED'] ?? 13);

function snapshot(
  version: number,
  offset: number,
  dataCentresOut: readonly string[] = [],
): operatorIntent.IntentSnapshot {
  return {document: fixtures.document({version}), dataCentresOut, offset};
}

test('an outdated snapshot, as from a stale read, is ignored', () => {
  const intent = new operatorIntent.OperatorIntent();
  intent.applySnapshot(snapshot(5, 10, ['south']));
  assert.equal(intent.applySnapshot(snapshot(4, 8)), false);
  assert.equal(intent.configuration?.version, 5);
  assert.deepEqual([...intent.dataCentresOut], ['south']);
});

test('the intent is unknown before a snapshot, since an evacuation could be missed', () => {
  const intent = new operatorIntent.OperatorIntent();
  const document = fixtures.document();
  intent.applyChange({kind: 'configuration', offset: 3, document});
  assert.equal(intent.isKnown, false);
  intent.applySnapshot(snapshot(1, 3));
  assert.equal(intent.isKnown, true);
});

test('only a newer record returns a data centre to service', () => {
  const intent = new operatorIntent.OperatorIntent();
  intent.applySnapshot(snapshot(1, 5, ['south']));
  const back = {kind: 'data-centre', dataCentre: 'south', out: false} as const;
  assert.equal(intent.applyChange({...back, offset: 4}), false);
  assert.ok(intent.dataCentresOut.has('south'));
  assert.equal(intent.applyChange({...back, offset: 6}), true);
  assert.equal(intent.dataCentresOut.size, 0);
});

test(`versions and offsets never decrease, seed ${SEED}`, () => {
  const state = fc.record({
    version: fc.integer({min: 1, max: 30}),
    offset: fc.integer({min: 0, max: 60}),
    isSnapshot: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(state, {maxLength: 60}), states => {
      const intent = new operatorIntent.OperatorIntent();
      let version = 0;
      let offset = -1;
      for (const s of states) {
        if (s.isSnapshot) intent.applySnapshot(snapshot(s.version, s.offset));
        else {
          const document = fixtures.document({version: s.version});
          const {offset: at} = s;
          intent.applyChange({kind: 'configuration', offset: at, document});
        }
        assert.ok((intent.configuration?.version ?? 0) >= version);
        assert.ok(intent.offset >= offset);
        version = intent.configuration?.version ?? 0;
        offset = intent.offset;
      }
    }),
    {seed: SEED},
  );
});
