/** Memory and processor time of the state of a node by number of members and of exceptions. */
import * as uuid from 'uuid';

import * as logState from '../../src/common/control/log_state.js';
import * as controlCore from '../../src/common/control/control_core.js';
import * as counters from '../../src/common/counters.js';
import * as invariants from '../../src/common/invariants.js';
import * as randomSource from '../../src/common/random_source.js';
import * as generated from '../../src/generated/configuration.js';
import * as peer from '../../src/generated/peer.js';
import * as virtualFleet from '../../test/fakes/virtual_fleet.js';
import * as heap from './heap.js';
import * as measurement from './measurement.js';

const MEMBERS_PER_SERVICE = 29;
const MEMBER_COUNTS = [150, 600, 1_200, 2_400];
const EXCEPTION_COUNTS = [30, 100, 300, 1_000];
const SEED = 1;
const RECORD_TIME_MS = 1_700_000_000_000;

function encodeJoinRecord(member: peer.Member): Uint8Array {
  const value = peer.RosterRecord.fromPartial({
    event: peer.RosterEvent.JOIN,
    member,
    authorNodeId: member.nodeId,
  });
  const body = {$case: 'roster' as const, value};
  const record = {recordId: uuid.v7(), timeMs: RECORD_TIME_MS, body};
  return peer.LogRecord.encode(record).finish();
}

/** Builds a control core that has folded the join records of `count` members. */
function buildControlCore(count: number): controlCore.ControlCore {
  const members = virtualFleet.fleetMembers(count, MEMBERS_PER_SERVICE);
  const memoryCounters = new counters.MemoryCounters();
  const core = new controlCore.ControlCore({
    self: members[0],
    random: new randomSource.SeededRandom(SEED),
    counters: memoryCounters,
    invariants: new invariants.Invariants(memoryCounters),
  });
  const records = members.map((m, offset) => ({
    offset,
    bytes: encodeJoinRecord(m),
  }));
  const page = {records, firstOffset: 0, nextOffset: records.length};
  const now = {monotonicMs: 1, epochMs: RECORD_TIME_MS};
  core.handle({kind: 'log-read', from: 0, page}, now);
  core.handle({kind: 'tick'}, now);
  return core;
}

function buildException(i: number): generated.Exception {
  return {
    id: `server-out.node-${i}`,
    kind: 'server-out',
    server: `node-${i}`,
    reason: 'replaced after disk noise in the night of Tuesday',
    author: 'operator',
    timeMs: RECORD_TIME_MS,
  };
}

function encodeChangeRecord(
  exceptions: readonly generated.Exception[],
): Uint8Array {
  const configuration = {
    defaults: {},
    classes: [REQUEST_CLASS],
    services: [],
    exceptions,
  };
  const value = peer.ConfigurationChange.fromPartial({
    changeId: uuid.v7(),
    author: 'operator',
    reason: 'measurement',
    operationJson: JSON.stringify({kind: 'replace', configuration}),
  });
  const body = {$case: 'change' as const, value};
  const record = {recordId: value.changeId, timeMs: RECORD_TIME_MS, body};
  return peer.LogRecord.encode(record).finish();
}

const REQUEST_CLASS = {
  name: 'read',
  kind: 'interactive',
  deadlineMs: 500,
  idempotent: true,
};

function buildLogState(count: number): logState.LogState {
  const memoryCounters = new counters.MemoryCounters();
  const state = new logState.LogState(
    new invariants.Invariants(memoryCounters),
    memoryCounters,
  );
  const exceptions = Array.from({length: count}, (_, i) => buildException(i));
  const records = [{offset: 0, bytes: encodeChangeRecord(exceptions)}];
  state.foldPage({records, firstOffset: 0, nextOffset: 1});
  if (state.configuration.revision !== 1) {
    throw new Error('the configuration change was not accepted');
  }
  return state;
}

/** Measures the bytes retained by each kind of state. */
export function measureStateMemory(): readonly measurement.Measurement[] {
  const points = (
    counts: readonly number[],
    build: (count: number) => unknown,
  ) => counts.map(x => ({x, y: heap.retainedBytes(() => build(x))}));
  buildControlCore(10);
  buildLogState(10);
  return [
    {
      role: 'roster and liveness',
      size: 'members',
      cost: 'bytes',
      points: points(MEMBER_COUNTS, buildControlCore),
    },
    {
      role: 'configuration',
      size: 'exceptions',
      cost: 'bytes',
      points: points(EXCEPTION_COUNTS, buildLogState),
    },
  ];
}

/** Measures the processor time to fold one configuration change, by number of exceptions. */
export function measureFoldTime(): readonly measurement.Measurement[] {
  const points = EXCEPTION_COUNTS.map(x => {
    buildLogState(x);
    const repeats = 5;
    const startUs = process.cpuUsage().user;
    for (let i = 0; i < repeats; i++) buildLogState(x);
    return {x, y: (process.cpuUsage().user - startUs) / repeats};
  });
  return [
    {
      role: 'configuration',
      size: 'exceptions',
      cost: 'us of processor a change',
      points,
    },
  ];
}
