import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as serving from '../../generated/serving.js';
import * as fleetDirectory from './fleet_directory.js';
import * as nodeRecord from './node_record.js';

const {test} = nodeTest;

const RECORD: serving.NodeRecord = {
  nodeId: 'a',
  dataCentre: 'north',
  service: 'orders',
  ip: '10.0.0.1',
  port: 80,
};

const ANY_RECORD: fc.Arbitrary<serving.NodeRecord> = fc.record({
  nodeId: fc.string({unit: 'binary'}),
  dataCentre: fc.string({unit: 'binary'}),
  service: fc.string({unit: 'binary'}),
  ip: fc.oneof(fc.ipV4(), fc.ipV6(), fc.string(), fc.domain()),
  port: fc.oneof(fc.integer({min: 0, max: 70_000}), fc.maxSafeNat()),
});

test('only records to whose address a connection can be opened are checked', () => {
  const faults: ReadonlyArray<Partial<serving.NodeRecord>> = [
    {nodeId: ''},
    {nodeId: 'x'.repeat(201)},
    {nodeId: 'a\u0000'},
    {nodeId: '\ufffd'},
    {dataCentre: ''},
    {dataCentre: 'x'.repeat(201)},
    {dataCentre: 'north\nsouth'},
    {service: ''},
    {service: 'x'.repeat(201)},
    {ip: ''},
    {ip: 'host.example'},
    {ip: '::1'},
    {ip: '999.0.0.1'},
    {ip: '0.0.0.0'},
    {ip: '224.0.0.1'},
    {ip: '255.255.255.255'},
    {port: 0},
    {port: -1},
    {port: 0.5},
    {port: 65_536},
    {port: NaN},
  ];
  for (const fault of faults) {
    assert.throws(
      () => nodeRecord.check({...RECORD, ...fault}),
      {name: 'MalformedInputError'},
      JSON.stringify(fault),
    );
  }
  for (const sound of [
    {nodeId: 'x'.repeat(200)},
    {port: 65_535},
    {ip: '127.0.0.1'},
  ]) {
    const record = {...RECORD, ...sound};
    assert.equal(nodeRecord.check(record), record);
  }
});

test('an odd record from the store, a greeting or another node is given to no link', () => {
  const property = fc.property(
    fc.array(ANY_RECORD),
    fc.boolean(),
    (records, isReported) => {
      const directory = new fleetDirectory.FleetDirectory(RECORD);
      const opened: serving.NodeRecord[] = [];
      directory.onChanged(record => opened.push(record));
      for (const record of records) {
        if (isReported) directory.putReported(record);
        else directory.put(record);
      }
      for (const {ip, port} of [...opened, ...directory.others]) {
        assert.ok(net.isIPv4(ip) && port > 0 && port < 65_536, `${ip}:${port}`);
      }
    },
  );
  fc.assert(property);
});

test('an odd record under the id of a living node changes nothing', () => {
  const directory = new fleetDirectory.FleetDirectory({
    ...RECORD,
    nodeId: 'own',
  });
  const known = {...RECORD, port: 81};
  directory.put(known);
  const changes: unknown[] = [];
  directory.onChanged(record => changes.push(record));
  directory.onRemoved(nodeId => changes.push(nodeId));
  const ignored: string[] = [];
  directory.onIgnored(({key, err}) => ignored.push(`${key}: ${err.message}`));
  directory.put({...known, port: 70_000});
  directory.putReported({...known, ip: 'no address'});
  assert.deepEqual(directory.others, [known]);
  assert.deepEqual(changes, []);
  assert.deepEqual(ignored, [
    'a: check node record (fleet): port out of range',
    'a: check node record (fleet): no address of a host',
  ]);
});
