import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as virtualFleet from '../../../test/fakes/virtual_fleet.js';
import * as peer from '../../generated/peer.js';
import * as counters from '../counters.js';
import * as roster from './roster.js';

const {JOIN, LEAVING, GONE, REFRESH, ADMIT} = peer.RosterEvent;
const [A, B, C] = virtualFleet.fleetMembers(3, 3);

type Fields = Partial<peer.RosterRecord> & {readonly timeMs?: number};

/** Folds records one a second, at offsets from 0. */
function folded() {
  const fold = new roster.Roster(new counters.MemoryCounters());
  let offset = 0;
  const add = (
    event: peer.RosterEvent,
    member: peer.Member,
    author = member,
    {timeMs = offset * 1_000, ...more}: Fields = {},
  ) => {
    const authorNodeId = author.nodeId;
    const record = {event, member, authorNodeId, ...more};
    fold.fold({
      record: peer.RosterRecord.create(record),
      member,
      offset,
      timeMs,
    });
    offset++;
    return holders();
  };
  const holders = (): readonly string[] =>
    fold.holdersOf(A.service).map(e => e.member.nodeId);
  return {fold, add};
}

nodeTest.test('the first joiner holds, later ones when a holder admits', () => {
  const {add} = folded();
  assert.deepEqual(add(JOIN, A), ['node-0']);
  assert.deepEqual(add(JOIN, B), ['node-0']);
  assert.deepEqual(add(JOIN, C), ['node-0']);
  assert.deepEqual(add(ADMIT, C, B), ['node-0']);
  assert.deepEqual(add(ADMIT, B, A), ['node-0', 'node-1']);
  assert.deepEqual(add(LEAVING, A), ['node-1']);
});

nodeTest.test('only a holder ends the holding of another member', () => {
  const {add, fold} = folded();
  add(JOIN, A);
  add(JOIN, B);
  assert.deepEqual(add(GONE, A, B), ['node-0']);
  add(ADMIT, B, A);
  assert.deepEqual(add(GONE, A, B), ['node-1']);
  assert.deepEqual(add(GONE, B, A), ['node-1']);
  assert.equal(fold.entry('node-0')?.roster, 'gone');
});

nodeTest.test(
  'records of an older start or an older time change nothing',
  () => {
    const {add, fold} = folded();
    add(JOIN, A);
    add(JOIN, {...A, incarnation: 2});
    add(GONE, A);
    add(LEAVING, A);
    assert.equal(fold.entry('node-0')?.roster, 'joined');
    add(LEAVING, {...A, incarnation: 2}, A, {timeMs: 9_000});
    add(JOIN, {...A, incarnation: 2}, A, {timeMs: 8_000});
    assert.equal(fold.entry('node-0')?.roster, 'leaving');
  },
);

nodeTest.test('a restart ends holding', () => {
  const {add, fold} = folded();
  add(JOIN, A);
  add(JOIN, B);
  add(ADMIT, B, A);
  assert.deepEqual(add(JOIN, {...A, incarnation: 2}), ['node-1']);
  assert.deepEqual(
    fold.departuresOf(A.service).map(d => d.nodeId),
    ['node-0'],
  );
});

nodeTest.test('a joiner starts anew after long silence of all holders', () => {
  const {add} = folded();
  add(JOIN, A);
  const late = roster.HOLDER_RESET_MS;
  assert.deepEqual(add(JOIN, B, B, {timeMs: late - 1}), ['node-0']);
  assert.deepEqual(add(JOIN, C, C, {timeMs: late}), ['node-2']);
});

nodeTest.test(
  'a truncated log gives holders by refreshes that miss nothing',
  () => {
    const {add, fold} = folded();
    fold.skipTo(10);
    assert.deepEqual(add(JOIN, B), []);
    const holding = {holder: true, holderSinceOffset: 3, holderSinceMs: 3};
    assert.deepEqual(add(REFRESH, A, A, {...holding, basisOffset: 9}), []);
    assert.deepEqual(add(REFRESH, A, A, {...holding, basisOffset: 10}), [
      'node-0',
    ]);
    assert.equal(fold.complete, false);
    const timeMs = 1_000 + roster.HOLDER_RESET_MS;
    add(REFRESH, B, B, {timeMs});
    assert.equal(fold.complete, true);
  },
);
