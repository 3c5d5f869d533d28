import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as changes from '../../../test/fakes/changes.js';
import * as virtualFleet from '../../../test/fakes/virtual_fleet.js';
import * as operation from './operation.js';
import * as validateChange from './validate_change.js';

function parse(value: unknown): operation.Operation {
  const parsed = operation.parseOperation(JSON.stringify(value));
  assert.equal(parsed.kind, 'ok', JSON.stringify(parsed));
  return parsed.kind === 'ok' ? parsed.value : assert.fail();
}

function outOf(dataCentre: string, id = dataCentre): operation.Operation {
  return parse({
    kind: 'add-exception',
    exception: {
      id,
      kind: 'data-centre-out',
      dataCentre,
      reason: 'power work',
      author: 'ana',
      timeMs: 1,
    },
  });
}

function context(
  outAlready: readonly string[] = [],
): validateChange.ValidationContext {
  const start = operation.checkConfiguration(changes.configurationJson(100));
  assert.equal(start.kind, 'ok');
  let document = start.kind === 'ok' ? start.value : assert.fail();
  for (const dataCentre of outAlready) {
    const applied = operation.applyOperation(document, outOf(dataCentre));
    if (applied.kind === 'ok') document = applied.value;
  }
  const members = virtualFleet.fleetMembers(6, 3);
  return {document, members, allowLastDataCentre: false};
}

nodeTest.test('a known data centre can be taken out with a reason', () => {
  const faults = validateChange.validateChange(
    outOf('couva'),
    'work',
    context(),
  );
  assert.deepEqual(faults, []);
});

nodeTest.test('a missing reason and unknown names are faults', () => {
  const faults = validateChange.validateChange(outOf('coova'), ' ', context());
  assert.deepEqual(faults, [
    'reason: expected text, found none',
    'exception coova: unknown data centre coova; known: chaguanas, couva, freeport',
  ]);
});

nodeTest.test(
  'taking out the last data centre of a service needs the explicit flag',
  () => {
    const mostOut = context(['chaguanas', 'couva']);
    const last = outOf('freeport');
    const faults = validateChange.validateChange(last, 'work', mostOut);
    assert.equal(faults.length, 2);
    assert.match(faults[0], /service-0 would have no data centre left/);
    const allowed = {...mostOut, allowLastDataCentre: true};
    const none = validateChange.validateChange(last, 'work', allowed);
    assert.deepEqual(none, []);
  },
);

nodeTest.test(
  'an exception without a reason and an operation with an unknown key are invalid',
  () => {
    const bad = {
      kind: 'add-exception',
      exception: {id: 'a', kind: 'server-out'},
    };
    const parsed = operation.parseOperation(JSON.stringify(bad));
    assert.equal(parsed.kind, 'invalid');
    const extra = {kind: 'remove-exception', id: 'a', also: 1};
    const second = operation.parseOperation(JSON.stringify(extra));
    assert.equal(second.kind, 'invalid');
  },
);
