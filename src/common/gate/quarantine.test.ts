import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as peer from '../../generated/peer.js';
import * as suspectRequests from '../quarantine/suspect_requests.js';
import * as fixtures from './gate_fixtures.test.js';

const CRASHER = {
  fingerprint: 'crasher',
  className: 'history',
  deadlineMs: 9_000,
};

function crash(
  gate: fixtures.GateFixture,
  ms: number,
): readonly peer.SuspectReport[] {
  const actions = gate.send({kind: 'server-lost'}, ms);
  gate.send({kind: 'server-state', state: 'ready', slots: 0}, ms + 1);
  return fixtures.actionsOfKind(actions, 'report-suspect').map(a => a.report);
}

nodeTest.test(
  'a second death quarantines a request, and the refusal states for how long',
  () => {
    const gate = fixtures.gateFixture();
    gate.send(fixtures.call('a', CRASHER), 0);
    assert.deepEqual(
      crash(gate, 1).map(r => r.deaths),
      [1],
    );
    assert.deepEqual(
      fixtures.startedCallIds(gate.send(fixtures.call('b', CRASHER), 10)),
      ['b'],
    );
    assert.deepEqual(
      crash(gate, 11).map(r => r.deaths),
      [2],
    );
    const refused = gate.send(fixtures.call('c', CRASHER), 20);
    assert.deepEqual(fixtures.refusals(refused), ['c QUARANTINED NOT_RUN']);
    const [{refusal}] = fixtures.actionsOfKind(refused, 'refuse');
    const leftMs = suspectRequests.SUSPICION_TTL_MS - 9;
    assert.equal(refusal.retryAfterMs, leftMs);
    const later = gate.send(fixtures.call('d', CRASHER), 20 + leftMs);
    assert.deepEqual(fixtures.startedCallIds(later), ['d']);
  },
);

nodeTest.test('reports of other gates also quarantine waiting calls', () => {
  const gate = fixtures.gateFixture({slots: 1});
  gate.send(fixtures.call('first'), 0);
  gate.send(fixtures.call('a', CRASHER), 0);
  const report = {fingerprint: 'crasher', deaths: 2, expiresInMs: 5_000};
  gate.send({kind: 'suspect', report}, 1);
  assert.deepEqual(
    fixtures.refusals(gate.send(fixtures.answered('first'), 2)),
    ['a QUARANTINED NOT_RUN'],
  );
});

nodeTest.test('deaths reported by the sender of a retry are counted', () => {
  const gate = fixtures.gateFixture();
  gate.send(fixtures.call('a', {...CRASHER, deaths: 1}), 0);
  assert.deepEqual(
    crash(gate, 1).map(r => r.deaths),
    [2],
  );
});

nodeTest.test(
  'suspects do not run concurrently with each other, other calls do',
  () => {
    const gate = fixtures.gateFixture({slots: 4});
    const good = {fingerprint: 'good'};
    gate.send(fixtures.call('a', CRASHER), 0);
    gate.send(fixtures.call('b', good), 0);
    assert.equal(crash(gate, 1).length, 2);
    const started = [
      ...fixtures.startedCallIds(gate.send(fixtures.call('c', CRASHER), 10)),
      ...fixtures.startedCallIds(gate.send(fixtures.call('d', good), 10)),
      ...fixtures.startedCallIds(gate.send(fixtures.call('e'), 10)),
    ];
    assert.deepEqual(started, ['c', 'e']);
    const reports = crash(gate, 11);
    assert.deepEqual(
      reports.map(r => [r.fingerprint, r.deaths]),
      [
        ['crasher', 2],
        ['fp-e', 1],
      ],
    );
    assert.deepEqual(
      fixtures.startedCallIds(gate.send(fixtures.call('f', good), 20)),
      ['f'],
    );
  },
);

nodeTest.test('a request that is answered is cleared', () => {
  const gate = fixtures.gateFixture();
  gate.send(fixtures.call('a', CRASHER), 0);
  crash(gate, 1);
  gate.send(fixtures.call('b', CRASHER), 10);
  gate.send(fixtures.answered('b'), 15);
  gate.send(fixtures.call('c', CRASHER), 20);
  assert.deepEqual(
    crash(gate, 21).map(r => r.deaths),
    [1],
  );
});

nodeTest.test('a call cancelled just before a death is suspect too', () => {
  const gate = fixtures.gateFixture();
  gate.send(fixtures.call('a', CRASHER), 0);
  gate.send({kind: 'cancel', callId: 'a'}, 5);
  assert.deepEqual(
    crash(gate, 10).map(r => r.fingerprint),
    ['crasher'],
  );
  gate.send(fixtures.call('b'), 100);
  gate.send({kind: 'cancel', callId: 'b'}, 101);
  assert.deepEqual(crash(gate, 160), []);
});

nodeTest.test('the table of suspects is bounded and its entries expire', () => {
  const suspects = new suspectRequests.SuspectRequests();
  for (let i = 0; i < 5_000; i++) suspects.onDeath(`fp-${i}`, i);
  assert.equal(suspects.size, 1_024);
  assert.equal(suspects.deathsOf('fp-4999', 5_000), 1);
  assert.equal(suspects.deathsOf('fp-0', 5_000), 0);
  const expiredMs = 4_999 + suspectRequests.SUSPICION_TTL_MS;
  assert.equal(suspects.deathsOf('fp-4999', expiredMs - 1), 1);
  assert.equal(suspects.deathsOf('fp-4999', expiredMs), 0);
});
