import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as virtualFleet from '../../../test/fakes/virtual_fleet.js';
import * as peer from '../../generated/peer.js';
import * as counters from '../counters.js';
import * as roster from './roster.js';

const {JOIN, LEAVING, GONE, REFRESH} = peer.RosterEvent;
const [A, B, C] = virtualFleet.fleetMembers(3, 3);

type Fields = Partial<peer.RosterRecord> & {readonly timeMs?: number};

/** Returns a roster and a function that folds records into it, one a second, at offsets from 0. */
function createRoster() {
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
  };
  return {fold, add};
}

nodeTest.test('members join, leave and are declared gone', () => {
  const {add, fold} = createRoster();
  add(JOIN, A);
  add(JOIN, B);
  add(JOIN, C);
  add(LEAVING, B);
  add(GONE, C, A);
  assert.deepEqual(
    fold.entriesOf(A.service).map(e => [e.member.nodeId, e.roster]),
    [
      ['node-0', 'joined'],
      ['node-1', 'leaving'],
    ],
  );
  assert.equal(fold.entry('node-2')?.roster, 'gone');
  add(REFRESH, C);
  assert.equal(fold.entry('node-2')?.roster, 'joined');
});

nodeTest.test('records of an older incarnation or time change nothing', () => {
  const {add, fold} = createRoster();
  add(JOIN, A);
  add(JOIN, {...A, incarnation: 2});
  add(GONE, A);
  add(LEAVING, A);
  assert.equal(fold.entry('node-0')?.roster, 'joined');
  add(LEAVING, {...A, incarnation: 2}, A, {timeMs: 9_000});
  add(JOIN, {...A, incarnation: 2}, A, {timeMs: 8_000});
  assert.equal(fold.entry('node-0')?.roster, 'leaving');
});

nodeTest.test('a gap in the log ends once all members have refreshed', () => {
  const {add, fold} = createRoster();
  fold.noteGap();
  add(JOIN, B);
  assert.equal(fold.complete, false);
  add(REFRESH, A, A, {timeMs: roster.FULL_REFRESH_MS - 1});
  assert.equal(fold.complete, false);
  add(REFRESH, B, B, {timeMs: roster.FULL_REFRESH_MS});
  assert.equal(fold.complete, true);
  assert.equal(fold.entriesOf(A.service).length, 2);
});
