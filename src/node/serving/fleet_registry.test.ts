import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as fixtures from '../../common/serving/serving_fixtures.test.js';
import * as serving from '../../generated/serving.js';
import * as fleetDirectory from './fleet_directory.js';
import * as fleetRegistry from './fleet_registry.js';
import * as platformAdapter from './platform_adapter.js';

const {test} = nodeTest;

function bytesOf(value: serving.NodeRecord): Buffer {
  return Buffer.from(serving.NodeRecord.encode(value).finish());
}

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
        position: {era: 1, offset},
        key: `node/${value.nodeId}`,
        value: bytesOf(value),
      }));
      return {records: stored, era: 1, endOffset: stored.length};
    },
    renewConnections: () => undefined,
    follow: async () => ({kind: 'expired', era: 1}),
    put: async () => 1,
    putAt: () => Promise.reject(new Error('not expected')),
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
    onRead: () => undefined,
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

/** A store whose contents and era a test sets. */
class ReturningStore implements platformAdapter.SharedStore {
  era = 1;
  writes = 0;
  reads = 0;
  losesWrites = false;
  /** Era that answers to writes state, that of reads by default. */
  writeEra: number | undefined;
  records: serving.NodeRecord[] = [];
  /** Further keys with their values, read before `records`. */
  entries: ReadonlyArray<readonly [string, Buffer]> = [];

  renewConnections(): void {}

  async newest(): Promise<platformAdapter.NewestRecords> {
    this.reads++;
    const {era} = this;
    const written = this.records.map(
      value => [`node/${value.nodeId}`, bytesOf(value)] as const,
    );
    const records = [...this.entries, ...written].map(
      ([key, value], offset) => ({position: {era, offset}, key, value}),
    );
    return {records, era, endOffset: records.length};
  }

  async follow(): Promise<platformAdapter.FollowResult> {
    return {kind: 'expired', era: this.era};
  }

  putAt(): Promise<never> {
    return Promise.reject(new Error('not expected'));
  }

  async put(
    topic: platformAdapter.Topic,
    key: string,
    value: Buffer | undefined,
  ): Promise<number> {
    this.writes++;
    if (value && !this.losesWrites) {
      this.records.push(serving.NodeRecord.decode(value));
    }
    return this.writeEra ?? this.era;
  }

  async [Symbol.asyncDispose](): Promise<void> {}
}

function registryOf(
  store: platformAdapter.SharedStore,
  directory: fleetDirectory.FleetDirectory,
): fleetRegistry.FleetRegistry {
  return new fleetRegistry.FleetRegistry({
    store,
    directory,
    log: new fixtures.RecordedLog(),
    random: () => 0,
    onRead: () => undefined,
  });
}

const SETTLE_MS = 50;

test('a record lost by a return of the store is written again, and nodes of the meantime are found', async () => {
  const directory = new fleetDirectory.FleetDirectory(record('own', 1));
  const store = new ReturningStore();
  await using registry = registryOf(store, directory);
  registry.start();
  await timers.setTimeout(SETTLE_MS);
  assert.deepEqual([store.writes, store.reads], [1, 1]);
  store.era = 2;
  store.records = [record('later', 2)];
  registry.onEra(2);
  await timers.setTimeout(SETTLE_MS);
  assert.equal(store.writes, 2);
  assert.deepEqual(
    store.records.map(({nodeId}) => nodeId),
    ['later', 'own'],
  );
  assert.deepEqual(directory.others, [record('later', 2)]);
  assert.equal(store.reads, 3);
});

test('a record that the returned store still has is read, not written', async () => {
  const directory = new fleetDirectory.FleetDirectory(record('own', 1));
  const store = new ReturningStore();
  await using registry = registryOf(store, directory);
  registry.start();
  await timers.setTimeout(SETTLE_MS);
  store.era = 2;
  registry.onEra(2);
  await timers.setTimeout(SETTLE_MS);
  assert.deepEqual([store.writes, store.reads], [1, 2]);
});

test('a store that keeps losing the record gets few calls', async () => {
  const directory = new fleetDirectory.FleetDirectory(record('own', 1));
  const store = new ReturningStore();
  store.losesWrites = true;
  await using registry = registryOf(store, directory);
  registry.start();
  await timers.setTimeout(1_000);
  // Backoff of 200 ms, doubled after each failure.
  assert.ok(store.writes <= 4, `${store.writes} writes`);
});

test('a store that loses the record and states several eras gets few calls', async () => {
  const directory = new fleetDirectory.FleetDirectory(record('own', 1));
  const store = new ReturningStore();
  store.losesWrites = true;
  store.era = 2;
  store.writeEra = 1;
  // Each answer takes a turn of the event loop, as the test could not end otherwise.
  const newest = store.newest.bind(store);
  store.newest = async () => {
    await timers.setImmediate();
    return newest();
  };
  await using registry = registryOf(store, directory);
  registry.start();
  await timers.setTimeout(1_000);
  assert.ok(store.writes <= 5, `${store.writes} writes`);
});

test('odd entries among those of the nodes hide no other one, wherever they stand', async () => {
  const odd: ReadonlyArray<readonly [string, Buffer]> = [
    ['node/a', bytesOf(record('a', 70_000))],
    ['node/b', Buffer.alloc(300_000, 0x7b)],
    ['node/c', Buffer.from([0x28, ...Array<number>(9).fill(0xff), 0x01])],
    ['node/d', Buffer.from('['.repeat(200_000))],
    ['', bytesOf(record('', 80))],
    ['node/other', bytesOf(record('e', 80))],
    ['node/', bytesOf(record('', 80))],
  ];
  const sound = record('sound', 80);
  const soundEntry = ['node/sound', bytesOf(sound)] as const;
  for (let i = 0; i <= odd.length; i++) {
    const entries = [...odd.slice(0, i), soundEntry, ...odd.slice(i)];
    const directory = new fleetDirectory.FleetDirectory(record('own', 1));
    const ignored: string[] = [];
    directory.onIgnored(({key}) => ignored.push(key));
    const store = new ReturningStore();
    store.entries = entries;
    await using registry = registryOf(store, directory);
    registry.start();
    await timers.setTimeout(SETTLE_MS);
    assert.deepEqual(directory.others, [sound]);
    assert.equal(ignored.length, odd.length, ignored.join());
    assert.equal(store.reads, 1);
  }
});

test('an own record that another writer has replaced is written again soon, but not endlessly', async () => {
  const directory = new fleetDirectory.FleetDirectory(record('own', 1));
  const store = new ReturningStore();
  store.losesWrites = true;
  store.records = [record('own', 70_000)];
  await using registry = registryOf(store, directory);
  registry.start();
  await timers.setTimeout(1_000);
  assert.ok(store.writes >= 2 && store.writes <= 4, `${store.writes} writes`);
});
