import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as crashSuspects from '../../common/serving/crash_suspects.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as fixtures from '../../common/serving/serving_fixtures.test.js';
import * as serving from '../../generated/serving.js';
import * as fleetDirectory from './fleet_directory.js';
import * as fleetSync from './fleet_sync.js';

const {test} = nodeTest;

function record(nodeId: string, dataCentre: string): serving.NodeRecord {
  const port = 1 + nodeId.charCodeAt(0);
  return {nodeId, dataCentre, service: 's', ip: '10.0.0.1', port};
}

function setUp(isReader: boolean) {
  const directory = new fleetDirectory.FleetDirectory(record('own', 'north'));
  directory.put(record('near', 'north'));
  directory.put(record('far', 'south'));
  const asked: string[] = [];
  let now = 10_000;
  const intent = new operatorIntent.OperatorIntent();
  intent.applySnapshot({
    document: fixtures.document(),
    dataCentresOut: [],
    offset: 3,
  });
  const sync = new fleetSync.FleetSync({
    intent,
    suspects: new crashSuspects.CrashSuspects(),
    directory,
    decoder: {decode: ({offset}) => ({kind: 'other', offset})},
    log: new fixtures.RecordedLog(),
    onIntentChanged: () => undefined,
    isReader: () => isReader,
    requestState: nodeId => void asked.push(nodeId),
    nowMs: () => now,
  });
  const at = (ms: number): void => {
    now = 10_000 + ms;
    sync.tick();
  };
  return {sync, intent, asked, at};
}

const NEWER = 5;

test('a store reader asks a peer with a newer offset if the store does not deliver', () => {
  const {sync, asked, at} = setUp(true);
  sync.onPeerOffset('far', NEWER);
  assert.deepEqual(asked, []);
  at(200);
  assert.deepEqual(asked, ['far']);
});

test('a node that does not read asks a peer in its data centre at once', () => {
  const {sync, asked} = setUp(false);
  sync.onPeerOffset('near', NEWER);
  assert.deepEqual(asked, ['near']);
});

test('a node that has caught up meanwhile asks no peer', () => {
  const {sync, asked, at} = setUp(true);
  sync.onPeerOffset('far', NEWER);
  sync.onOperatorsRecord({offset: 4, key: 'x', value: undefined});
  at(1_000);
  assert.deepEqual(asked, []);
});

test('another peer is asked when the first does not answer', () => {
  const {sync, asked, at} = setUp(false);
  sync.onPeerOffset('near', NEWER);
  sync.onPeerOffset('far', NEWER);
  at(1_000);
  assert.deepEqual(asked, ['near', 'far']);
});
