/** Entries of the store as another writer might leave them. */
import * as serving from '../../src/generated/serving.js';
import * as documents from '../stand_ins/platform/documents.js';

/** Nesting that overflows the stack of a recursive reader. */
export const DEEP_LEVELS = 60_000;

/** Returns the record of a node at an address where nothing listens; `fields` replaces fields. */
export function encodedNode(
  nodeId: string,
  fields: Partial<serving.NodeRecord>,
): Buffer {
  const record = {
    nodeId,
    dataCentre: 'north',
    service: 'orders',
    ip: '127.0.0.1',
    port: 9,
    ...fields,
  };
  return Buffer.from(serving.NodeRecord.encode(record).finish());
}

/** Field 5, the port, as a varint of 64 bits. */
const GIANT_PORT = Buffer.from([0x28, ...Array<number>(9).fill(0xff), 0x01]);

/** Odd values of a node's record; the first are those that another writer's program may encode. */
export function oddNodeValues(nodeId: string): readonly Buffer[] {
  return [
    encodedNode(nodeId, {port: 70_000}),
    encodedNode(nodeId, {port: 2 ** 32 - 1}),
    encodedNode(nodeId, {port: 0}),
    encodedNode(nodeId, {ip: ''}),
    encodedNode(nodeId, {ip: 'no address'}),
    encodedNode(nodeId, {ip: '999.0.0.1'}),
    encodedNode(nodeId, {service: 'x'.repeat(100_000)}),
    encodedNode(nodeId, {dataCentre: 'north\nsouth'}),
    Buffer.concat([encodedNode(nodeId, {}), GIANT_PORT]),
    // Nested groups of field 15, and a length beyond the end.
    Buffer.alloc(DEEP_LEVELS, 0x7b),
    Buffer.from([0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f]),
    Buffer.from('['.repeat(DEEP_LEVELS)),
  ];
}

/** Odd values of a configuration's fields, which the store's own check might miss. */
export function oddConfigurations(firstVersion: number): readonly Buffer[] {
  const route = documents.addedRoute('history');
  const service = {
    name: 'orders',
    max_conns: 200,
    cold_start_s: 3,
    cold_per_s: 10,
  };
  const oddRoutes: readonly object[] = [
    {priority: 2 ** 40},
    {timeout_s: 1e300},
    {timeout_s: 2 ** 33},
    {target_latency_s: 1e300},
    {attempts: 2 ** 52},
    {
      split: [
        {service: 'orders', weight: 1e308},
        {service: 'orders', weight: 1e308},
      ],
    },
  ];
  const oddFields: readonly object[] = [
    ...oddRoutes.map(odd => ({routes: [{...route, ...odd}]})),
    {version: 2 ** 53},
    ...['health', '/ \n', '/\u0000', '/\u6f22'].map(health_path => ({
      services: [{...service, health_path}],
    })),
    {
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 1e5,
        header_timeout_s: 1e300,
        idle_timeout_s: 1e300,
      },
    },
    {
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 1e5,
        header_timeout_s: 2 ** 33,
        idle_timeout_s: 2 ** 33,
      },
    },
  ];
  return [
    ...oddFields.map((odd, i) =>
      JSON.stringify(documents.configuration(firstVersion + i, odd)),
    ),
    '['.repeat(200_000),
    '{"routes":'.repeat(20_000),
    `{"version":1e400,"routes":[]}`,
  ].map(text => Buffer.from(text));
}
