import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as crashSuspects from '../../common/serving/crash_suspects.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as fixtures from '../../common/serving/serving_fixtures.test.js';
import * as serving from '../../generated/serving.js';
import * as fleetDirectory from './fleet_directory.js';
import * as fleetSync from './fleet_sync.js';
import * as platformAdapter from './platform_adapter.js';

const {test} = nodeTest;

function record(nodeId: string, dataCentre: string): serving.NodeRecord {
  const port = 1 + nodeId.charCodeAt(0);
  return {nodeId, dataCentre, service: 's', ip: '10.0.0.1', port};
}

function setUp(
  isReader: boolean,
  decode: platformAdapter.IntentDecoder['decode'] = ({position}) => ({
    kind: 'other',
    position,
  }),
) {
  const directory = new fleetDirectory.FleetDirectory(record('own', 'north'));
  directory.put(record('near', 'north'));
  directory.put(record('far', 'south'));
  const asked: string[] = [];
  let now = 10_000;
  const intent = new operatorIntent.OperatorIntent();
  const snapshot = {
    document: fixtures.document({version: 1}),
    dataCentres: [],
    position: {era: 1, offset: 3},
  };
  intent.applySnapshot(snapshot, 0);
  const sync = new fleetSync.FleetSync({
    intent,
    suspects: new crashSuspects.CrashSuspects(),
    directory,
    decoder: {decode},
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

const SAME: fleetSync.PeerIntent = {
  intentEra: 1,
  intentOffset: 4,
  configurationVersion: 1,
  holdsLostRecords: false,
};

const NEWER = {...SAME, intentOffset: 5};

test('a store reader asks a peer with a newer offset if the store does not deliver', () => {
  const {sync, asked, at} = setUp(true);
  sync.onPeerIntent('far', NEWER);
  assert.deepEqual(asked, []);
  at(200);
  assert.deepEqual(asked, ['far']);
});

test('a node that does not read asks a peer in its data centre at once', () => {
  const {sync, asked} = setUp(false);
  sync.onPeerIntent('near', NEWER);
  assert.deepEqual(asked, ['near']);
});

test('a node that has caught up meanwhile asks no peer', () => {
  const {sync, asked, at} = setUp(true);
  sync.onPeerIntent('far', NEWER);
  const position = {era: 1, offset: 4};
  sync.onOperatorsRecord({position, key: 'x', value: undefined});
  at(1_000);
  assert.deepEqual(asked, []);
});

test('another peer is asked when the first does not answer', () => {
  const {sync, asked, at} = setUp(false);
  sync.onPeerIntent('near', NEWER);
  sync.onPeerIntent('far', NEWER);
  at(1_000);
  assert.deepEqual(asked, ['near', 'far']);
});

test('peers that know a new era, a higher version or a lost record are asked', () => {
  const ahead = [
    {...SAME, intentEra: 2, intentOffset: 1},
    {...SAME, configurationVersion: 2},
    {...SAME, holdsLostRecords: true},
  ];
  for (const peer of ahead) {
    const {sync, asked} = setUp(false);
    sync.onPeerIntent('near', peer);
    assert.deepEqual(asked, ['near'], JSON.stringify(peer));
  }
});

test('peers that are behind, and peers without intent, are not asked', () => {
  const behind = [
    SAME,
    {...SAME, intentEra: 0, intentOffset: 90, configurationVersion: 9},
    {...SAME, intentOffset: 0, configurationVersion: 9},
  ];
  for (const peer of behind) {
    const {sync, asked, at} = setUp(false);
    sync.onPeerIntent('near', peer);
    at(1_000);
    assert.deepEqual(asked, [], JSON.stringify(peer));
  }
});

test('a state taken from a peer has the lost records that it holds', () => {
  const from = setUp(false);
  const dataCentre = 'south';
  const out = {dataCentre, out: true, position: {era: 1, offset: 4}};
  const position = {era: 1, offset: 4};
  const document = undefined;
  from.intent.applySnapshot({document, dataCentres: [out], position}, 10_000);
  const returned = {era: 2, offset: 1};
  from.intent.applySnapshot(
    {document, dataCentres: [], position: returned},
    10_000,
  );
  const to = setUp(false);
  to.sync.onPeerIntent('near', from.sync.ownIntent());
  assert.deepEqual(to.asked, ['near']);
  to.sync.onState('near', from.sync.state());
  assert.deepEqual([...to.intent.dataCentresOut], ['south']);
  assert.deepEqual(to.intent.position, returned);
  to.at(operatorIntent.LOST_RECORD_HOLD_MS + 1);
  assert.equal(to.intent.dataCentresOut.size, 0);
});

// Otherwise the node would count as outdated until the next readable record, and admit no key.
test('the position advances past an unreadable record, and nothing else changes', () => {
  const {sync, intent} = setUp(false, () => {
    throw new Error('unreadable');
  });
  const position = {era: 1, offset: 4};
  sync.onOperatorsRecord({position, key: 'config', value: Buffer.from('{')});
  assert.deepEqual(intent.position, position);
  assert.equal(intent.configuration?.version, 1);
});

// Text that is JSON but no configuration threw in the callback of the link, or later.
test('a configuration of a peer that lacks fields is not applied', () => {
  const document = fixtures.document({version: 9});
  const odd: readonly unknown[] = [
    null,
    7,
    {},
    {version: 9},
    {...document, limits: {}},
    {...document, routes: [{...document.routes[0], host: undefined}]},
    {...document, routes: [{...document.routes[0], timeoutMs: 'long'}]},
    {...document, routes: [{...document.routes[0], rank: 0.5}]},
    {...document, services: [null]},
    {...document, workspaces: [{name: 'a'}]},
    {
      ...document,
      workspaces: [
        {name: 'a', keyDigests: []},
        {name: 'a', keyDigests: []},
      ],
    },
  ];
  for (const value of odd) {
    const {sync, intent} = setUp(false);
    const configurationJson = JSON.stringify(value);
    const state = {...sync.state(), configurationJson, intentOffset: 9};
    sync.onState('near', state);
    assert.equal(intent.configuration?.version, 1, configurationJson);
  }
});

test('a configuration of a peer is applied, with fields that are not known', () => {
  const {sync, intent} = setUp(false);
  const workspaces = [
    {name: 'a', keyDigests: ['d'], rank: 1, quota: undefined},
    {
      name: 'b',
      keyDigests: [],
      rank: undefined,
      quota: {ratePerSecond: 0.5, burst: 2},
    },
  ];
  const document = fixtures.document({version: 9, workspaces});
  const configurationJson = JSON.stringify({...document, added: 1});
  sync.onState('near', {...sync.state(), configurationJson, intentOffset: 9});
  assert.equal(intent.configuration?.version, 9);
});
