import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as peer from '../../generated/peer.js';
import * as gateContract from './gate_contract.js';
import * as fixtures from './gate_fixtures.test.js';

const DATAGRAMS_PER_SECOND = 20;
const MAX_TOKENS = 8;

function noticeCount(actions: readonly gateContract.GateAction[]): number {
  return fixtures
    .actionsOfKind(actions, 'tell-siblings')
    .reduce((sum, a) => sum + a.nodeIds.length, 0);
}

function load(changes: Partial<peer.LoadReport>): peer.LoadReport {
  return peer.LoadReport.create({limit: 4, ...changes});
}

nodeTest.test('a change of free capacity is sent to the siblings', () => {
  const {send} = fixtures.gateFixture({slots: 2});
  const [notice] = fixtures.actionsOfKind(
    send(fixtures.call('a'), 10),
    'tell-siblings',
  );
  assert.deepEqual(notice.nodeIds, ['gate-2', 'gate-3']);
  assert.equal(notice.load.inFlight, 1);
  assert.equal(noticeCount(send({kind: 'tick'}, 20)), 0);
  assert.equal(noticeCount(send(fixtures.answered('a'), 30)), 2);
});

nodeTest.test(
  'notices stay within the rate limit and reach all siblings',
  () => {
    const {gate, send, view} = fixtures.gateFixture({slots: 1});
    view.nodeIds = Array.from({length: 30}, (unused, i) => `gate-${i + 1}`);
    const reached = new Set<string>();
    let sent = 0;
    for (let ms = 0; ms < 10_000; ms += 10) {
      const actions = [
        ...send(fixtures.call(`c${ms}`), ms),
        ...send(fixtures.answered(`c${ms}`), ms + 5),
      ];
      sent += noticeCount(actions);
      for (const a of fixtures.actionsOfKind(actions, 'tell-siblings')) {
        a.nodeIds.forEach(nodeId => reached.add(nodeId));
      }
    }
    assert.ok(
      sent <= 10 * DATAGRAMS_PER_SECOND + MAX_TOKENS,
      `${sent} datagrams`,
    );
    assert.equal(reached.size, 29);
    assert.ok(gate.nextWakeMs() !== undefined);
  },
);

nodeTest.test('an idle gate sends its load periodically', () => {
  const {gate, send} = fixtures.gateFixture();
  let sent = 0;
  let ms = 0;
  for (let wakes = 0; wakes < 100 && ms < 10_000; wakes++) {
    sent += noticeCount(send({kind: 'tick'}, ms));
    ms = gate.nextWakeMs() ?? Infinity;
  }
  assert.ok(sent >= 8 && sent <= 12, `${sent} datagrams`);
});

nodeTest.test(
  'a gate without siblings sends no notices and does not wake early',
  () => {
    const {gate, send, view} = fixtures.gateFixture();
    view.nodeIds = ['gate-1'];
    for (let ms = 0; ms < 3_000; ms += 100) {
      assert.equal(noticeCount(send({kind: 'tick'}, ms)), 0);
      assert.ok((gate.nextWakeMs() ?? Infinity) > ms);
    }
  },
);

nodeTest.test(
  'a refusal by a full gate lists siblings with free capacity and the age of their reports',
  () => {
    const {send, view} = fixtures.gateFixture({slots: 1});
    view.configuration = fixtures.configuration({defaults: {queueLength: 0}});
    view.nodeIds = ['gate-1', 'gate-2', 'gate-3', 'gate-4', 'gate-5'];
    send(
      {kind: 'sibling-load', nodeId: 'gate-2', load: load({inFlight: 4})},
      0,
    );
    send(
      {kind: 'sibling-load', nodeId: 'gate-3', load: load({inFlight: 3})},
      0,
    );
    send({kind: 'sibling-load', nodeId: 'gate-4', load: load({})}, 0);
    send(
      {kind: 'sibling-load', nodeId: 'gate-5', load: load({leaving: true})},
      0,
    );
    send({kind: 'sibling-load', nodeId: 'unknown-gate', load: load({})}, 0);
    send(fixtures.call('a'), 40);
    const [{refusal}] = fixtures.actionsOfKind(
      send(fixtures.call('b'), 50),
      'refuse',
    );
    assert.deepEqual(
      refusal.alternatives.map(a => [a.nodeId, a.load?.ageMs]),
      [
        ['gate-4', 50],
        ['gate-3', 50],
      ],
    );
    assert.equal(refusal.load?.inFlight, 1);
    const full = load({inFlight: 2, queued: 2});
    send({kind: 'sibling-load', nodeId: 'gate-3', load: full}, 52);
    const [second] = fixtures.actionsOfKind(
      send(fixtures.call('d'), 55),
      'refuse',
    );
    assert.deepEqual(
      second.refusal.alternatives.map(a => a.nodeId),
      ['gate-4'],
    );
    view.configuration = fixtures.configuration({
      defaults: {queueLength: 0},
      exceptions: [fixtures.dataCentreOut('dc-1')],
    });
    const [out] = fixtures.actionsOfKind(
      send(fixtures.call('c'), 60),
      'refuse',
    );
    assert.deepEqual(out.refusal.alternatives, []);
  },
);
