import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as peer from '../../generated/peer.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as randomSource from '../random_source.js';
import * as control from './control_contract.js';
import * as controlCore from './control_core.js';

function member(nodeId: string): peer.Member {
  return {
    nodeId,
    service: 'orders',
    dataCentre: 'couva',
    region: 'tt-central',
    ip: '127.0.0.1',
    httpPort: 1,
    peerPort: 2,
    operatorPort: 3,
    slots: 12,
    incarnation: 1,
  };
}

/** A core with a log of its own that answers at once. */
function newNode(nodeId: string, log: control.StoredRecord[]) {
  const count = new counters.MemoryCounters();
  const core = new controlCore.ControlCore({
    self: member(nodeId),
    random: new randomSource.SeededRandom(1),
    counters: count,
    invariants: new invariants.Invariants(count),
  });
  let nowMs = 0;
  const feed = (event: control.ControlEvent): void => {
    const now = {monotonicMs: nowMs, epochMs: nowMs};
    for (const action of core.handle(event, now)) answer(action);
  };
  const answer = (action: control.ControlAction): void => {
    if (action.kind === 'append') {
      const offset = log.length;
      log.push({offset, bytes: peer.LogRecord.encode(action.record).finish()});
      feed({kind: 'appended', recordId: action.record.recordId, offset});
    }
    if (action.kind === 'read-log') {
      const records = log.slice(action.from, action.from + action.limit);
      const nextOffset = action.from + records.length;
      const page = {records, firstOffset: 0, nextOffset};
      feed({kind: 'log-read', from: action.from, page});
    }
  };
  const run = (untilMs: number): void => {
    for (; nowMs < untilMs; nowMs += 100) feed({kind: 'tick'});
  };
  return {core, feed, run};
}

nodeTest.test(
  'a node joins through the log and is the first key holder',
  () => {
    const log: control.StoredRecord[] = [];
    const node = newNode('orders-1', log);
    node.run(1_000);
    assert.equal(log.length, 0);
    node.feed({kind: 'server-state', state: 'ready'});
    node.run(2_000);
    assert.equal(log.length, 1);
    assert.equal(node.core.homeOf('orders', 'key'), 'orders-1');
    assert.equal(node.core.membersOf('orders').length, 1);
  },
);

nodeTest.test('a holder admits a later member, once', () => {
  const log: control.StoredRecord[] = [];
  const first = newNode('orders-1', log);
  first.feed({kind: 'server-state', state: 'ready'});
  first.run(1_000);
  const second = newNode('orders-2', log);
  second.feed({kind: 'server-state', state: 'ready'});
  second.run(1_000);
  first.run(3_000);
  second.run(3_000);
  assert.equal(log.length, 3);
  const homes = ['a', 'b', 'c', 'd', 'e', 'f'].map(k =>
    first.core.homeOf('orders', k),
  );
  assert.deepEqual(new Set(homes), new Set(['orders-1', 'orders-2']));
});

nodeTest.test('a stop is recorded and noticed', () => {
  const log: control.StoredRecord[] = [];
  const node = newNode('orders-1', log);
  node.feed({kind: 'server-state', state: 'ready'});
  node.run(1_000);
  node.feed({kind: 'stop'});
  node.run(2_000);
  assert.equal(log.length, 2);
  assert.equal(node.core.member('orders-1')?.roster, 'leaving');
  assert.equal(node.core.homeOf('orders', 'key'), undefined);
});
