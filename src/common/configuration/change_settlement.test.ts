import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as changes from '../../../test/fakes/changes.js';
import * as virtualLog from '../../../test/fakes/virtual_log.js';
import * as peer from '../../generated/peer.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as changeSettlement from './change_settlement.js';

const DEADLINE_MS = 5_000;

type AppendFault = 'none' | 'answer-lost' | 'lost';

function record(changeId: string, baseRevision: number): peer.LogRecord {
  const value = changes.replacement(changeId, baseRevision);
  return {recordId: changeId, timeMs: 1, body: {$case: 'change', value}};
}

/** Publishes a change; returns the settlement and the number of appends. */
function settle(
  log: virtualLog.VirtualLog,
  changeId: string,
  baseRevision: number,
  fault: AppendFault = 'none',
) {
  const count = new counters.MemoryCounters();
  const change = changes.replacement(changeId, baseRevision);
  const core = new changeSettlement.ChangeSettlement({
    record: record(changeId, baseRevision),
    change,
    deadlineMs: DEADLINE_MS,
    counters: count,
    invariants: new invariants.Invariants(count),
  });
  let appends = 0;
  let nowMs = 0;
  let events: changeSettlement.SettlementEvent[] = [{kind: 'tick'}];
  for (; nowMs <= DEADLINE_MS + 500; nowMs += 500) {
    const batch = events;
    events = [{kind: 'tick'}];
    for (const event of batch) {
      const now = {monotonicMs: nowMs, epochMs: nowMs};
      for (const action of core.handle(event, now)) {
        if (action.kind === 'settled') {
          return {settlement: action.settlement, appends};
        }
        if (action.kind === 'append') {
          appends++;
          if (fault !== 'lost') log.append(action.record);
          const kind = fault === 'none' ? 'appended' : 'append-failed';
          events.push({kind});
        } else if (log.reachable) {
          const page = log.page(action.from, action.limit);
          events.push({kind: 'log-read', page});
        } else {
          events.push({kind: 'log-read-failed'});
        }
      }
    }
  }
  return assert.fail('not settled');
}

nodeTest.test(
  'a change is accepted and a concurrent one on the same base is rejected',
  () => {
    const log = new virtualLog.VirtualLog();
    const first = settle(log, 'a', 0).settlement;
    assert.deepEqual(first, {kind: 'accepted', revision: 1});
    const second = settle(log, 'b', 0).settlement;
    assert.deepEqual(second, {kind: 'rejected', by: 'a'});
  },
);

nodeTest.test(
  'after a lost answer the outcome is read from the log without a second append',
  () => {
    const log = new virtualLog.VirtualLog();
    const result = settle(log, 'a', 0, 'answer-lost');
    assert.deepEqual(result.settlement, {kind: 'accepted', revision: 1});
    assert.equal(result.appends, 1);
  },
);

nodeTest.test(
  'a change that never appears in the log is reported as unknown',
  () => {
    const log = new virtualLog.VirtualLog();
    const result = settle(log, 'a', 0, 'lost');
    assert.deepEqual(result.settlement, {kind: 'unknown', changeId: 'a'});
    assert.equal(result.appends, 1);
  },
);

nodeTest.test('nothing is sent while the log is unreachable', () => {
  const log = new virtualLog.VirtualLog();
  log.reachable = false;
  const result = settle(log, 'a', 0);
  assert.deepEqual(result.settlement, {kind: 'not-sent'});
  assert.equal(result.appends, 0);
});
