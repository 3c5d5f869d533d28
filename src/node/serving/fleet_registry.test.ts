import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fixtures from '../../common/serving/serving_fixtures.test.js';
import * as serving from '../../generated/serving.js';
import * as fleetDirectory from './fleet_directory.js';
import * as fleetRegistry from './fleet_registry.js';
import * as platformAdapter from './platform_adapter.js';

const {test} = nodeTest;

function record(nodeId: string, port: number): serving.NodeRecord {
  return {nodeId, dataCentre: 'north', service: 's', ip: '10.0.0.1', port};
}

/** A store that holds the records of nodes; `read` resolves after the first read. */
function storeOf(records: readonly serving.NodeRecord[]) {
  let onRead = (): void => undefined;
  const read = new Promise<void>(resolve => (onRead = resolve));
  const store: platformAdapter.SharedStore = {
    newest: async () => {
      setImmediate(onRead);
      const stored = records.map((value, offset) => ({
        offset,
        key: `node/${value.nodeId}`,
        value: Buffer.from(serving.NodeRecord.encode(value).finish()),
      }));
      return {records: stored, endOffset: stored.length};
    },
    follow: async () => ({kind: 'expired'}),
    put: async () => undefined,
    [Symbol.asyncDispose]: async () => undefined,
  };
  return {store, read};
}

/** Reads the store's records into a directory that knows `known`. */
async function readInto(
  known: serving.NodeRecord,
  isLinked: boolean,
  stored: readonly serving.NodeRecord[],
) {
  const directory = new fleetDirectory.FleetDirectory(record('own', 1));
  directory.put(known);
  directory.setLinked(known.nodeId, isLinked);
  const ended: string[] = [];
  directory.onRemoved(nodeId => ended.push(nodeId));
  directory.onChanged(({nodeId}) => ended.push(nodeId));
  const {store, read} = storeOf(stored);
  await using registry = new fleetRegistry.FleetRegistry({
    store,
    directory,
    log: new fixtures.RecordedLog(),
    random: () => 0,
  });
  registry.start();
  await read;
  return {directory, ended};
}

const GONE = record('gone', 7);
const ALIVE = record('alive', 7);

test('a stale record at a reused address ends the link to the node that lives there', async () => {
  const stored = [GONE, ALIVE];
  const {directory, ended} = await readInto(ALIVE, true, stored);
  assert.deepEqual(ended, []);
  assert.deepEqual(directory.others, [ALIVE]);
});

test('a stale record of a node that has moved ends the link to it', async () => {
  const moved = record('gone', 8);
  const {directory, ended} = await readInto(moved, true, [GONE]);
  assert.deepEqual(ended, []);
  assert.deepEqual(directory.others, [moved]);
});

test('a record of the store replaces a node to which no link is open', async () => {
  const {directory} = await readInto(GONE, false, [ALIVE]);
  assert.deepEqual(directory.others, [ALIVE]);
});

test('a record that a node sends itself replaces a linked one at its address', () => {
  const directory = new fleetDirectory.FleetDirectory(record('own', 1));
  directory.put(GONE);
  directory.setLinked('gone', true);
  directory.put(ALIVE);
  assert.deepEqual(directory.others, [ALIVE]);
});
