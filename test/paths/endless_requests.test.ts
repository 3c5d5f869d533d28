/** The same clients at `geraniumloftd`. */
import * as nodeTest from 'node:test';

import * as bundle from './bundle.js';
import * as clientCrowd from './client_crowd.js';
import * as crowdFixture from './crowd_fixture.js';

const {endless, once, trickling} = crowdFixture;

const GET = 'GET /orders/1 HTTP/1.1\r\nHost: h\r\n';
const CHUNKED =
  'POST /orders/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';

const LINE = `Name: ${'x'.repeat(250)}\r\n`;
const FILLER = 'x'.repeat(16_000);

const CLIENTS = 40;

const CROWDS: ReadonlyMap<string, clientCrowd.ClientAction> = new Map([
  [
    'empty lines without end before a request',
    endless('', '\r\n'.repeat(4_000)),
  ],
  [
    'empty lines without end behind an answered request',
    endless(`${GET}\r\n`, '\r\n'.repeat(4_000)),
  ],
  ['head lines without end', endless(GET, LINE.repeat(40))],
  ['a head a byte at a time', trickling(GET, LINE)],
  ['a malformed head and then nothing', once('GET\r\n\r\n')],
  ['a chunk extension without end', endless(`${CHUNKED}5;`, FILLER)],
]);

for (const [kind, act] of CROWDS) {
  nodeTest.test(
    `geraniumloftd serves beside clients that send ${kind}`,
    async () => {
      const {NODE_ARGS: nodeArgs} = bundle;
      await using all = await crowdFixture.startDaemonFleet({nodeArgs});
      const [pair] = all.pairs;
      const target = crowdFixture.daemonTarget(pair);
      const address = `127.0.0.1:${pair.httpPort}`;
      await crowdFixture.checkServesBeside(target, {
        address,
        clients: CLIENTS,
        act,
      });
    },
  );
}
