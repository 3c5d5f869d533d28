/** Clients outside the limits at the ports of a node that are not for callers. */
import * as nodeTest from 'node:test';

import * as clientCrowd from './client_crowd.js';
import * as crowdFixture from './crowd_fixture.js';

const {endless, once, trickling} = crowdFixture;

const EMPTY_LINES = endless('', '\r\n'.repeat(4_000));
const EMPTY_LINES_BEHIND_REQUEST = endless(
  'GET /ready HTTP/1.1\r\nHost: h\r\n\r\n',
  '\r\n'.repeat(4_000),
);
const HEADS = endless(
  'GET /metrics HTTP/1.1\r\nHost: h\r\n',
  `Name: ${'x'.repeat(250)}\r\n`.repeat(40),
);
const ANNOUNCEMENTS = endless(
  'POST /Instances.Heartbeat/i HTTP/1.1\r\nHost: h\r\n' +
    'Transfer-Encoding: chunked\r\n\r\n',
  `3e80\r\n${'x'.repeat(16_000)}\r\n`,
);

/** A frame of 64 MiB that begins with no greeting. */
const FRAME = endless('\x04\0\0\0', '\0'.repeat(64 * 1024));

type Port = 'control' | 'readiness' | 'metrics' | 'peers';

interface Crowd {
  readonly kind: string;
  readonly port: Port;
  readonly act: clientCrowd.ClientAction;
}

/** Announcements of the backend server, and links of the other nodes. */
const OTHER_CONNECTIONS = 4;

const CLIENTS = 20;

const CROWDS: readonly Crowd[] = [
  {port: 'control', kind: 'announcements without end', act: ANNOUNCEMENTS},
  {port: 'control', kind: 'empty lines without end', act: EMPTY_LINES},
  {port: 'readiness', kind: 'heads without end', act: HEADS},
  {port: 'metrics', kind: 'empty lines without end', act: EMPTY_LINES},
  {
    port: 'readiness',
    kind: 'empty lines without end behind an answered request',
    act: EMPTY_LINES_BEHIND_REQUEST,
  },
  {port: 'peers', kind: 'empty lines without end', act: EMPTY_LINES},
  {port: 'peers', kind: 'a long frame before a greeting', act: FRAME},
  {
    port: 'peers',
    kind: 'a frame a byte at a time',
    act: trickling('\0\0\x10\0', '\0'),
  },
  {port: 'control', kind: 'a malformed head only', act: once('GET\r\n\r\n')},
];

for (const {port, kind, act} of CROWDS) {
  nodeTest.test(
    `a node serves beside clients that send ${kind} to the ${port} port`,
    async () => {
      await using all = await crowdFixture.startPlatformFleet();
      const [node] = all.nodes;
      const target = crowdFixture.platformTarget(all, node);
      await crowdFixture.checkServesBeside(target, {
        address: node[port],
        clients: CLIENTS,
        act,
        otherConnections: OTHER_CONNECTIONS,
      });
    },
  );
}
