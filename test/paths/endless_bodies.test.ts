import * as nodeTest from 'node:test';

import * as clientCrowd from './client_crowd.js';
import * as crowdFixture from './crowd_fixture.js';

const {endless, once, trickling} = crowdFixture;

const CHUNKED =
  'POST /history/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r\r\n' +
  'Deadline-Ms: 500\r\nTransfer-Encoding: chunked\r\n\r\n';

const FILLER = 'x'.repeat(16_000);
const CHUNK = `3e80\r\n${FILLER}\r\n`;

const CLIENTS = 40;

const CROWDS: ReadonlyMap<string, clientCrowd.ClientAction> = new Map([
  ['a chunk extension without end', endless(`${CHUNKED}5;`, FILLER)],
  [
    'chunks with long extensions without end',
    endless(CHUNKED, `1;${FILLER}\r\nx\r\n`),
  ],
  [
    'trailers without end',
    endless(`${CHUNKED}0\r\n`, `Name: ${'x'.repeat(250)}\r\n`.repeat(40)),
  ],
  ['chunks without end as a body', endless(CHUNKED, CHUNK)],
  ['chunks a byte at a time', trickling(CHUNKED, '1\r\nx\r\n')],
  ['a body over the limit and then nothing', once(CHUNKED + CHUNK.repeat(8))],
  ['a malformed head and then nothing', once('GET\r\n\r\n')],
  ['a malformed head and then bytes without end', endless('G\r\n\r\n', FILLER)],
  ['a malformed head and then a byte at a time', trickling('G\r\n\r\n', 'x')],
]);

for (const [kind, act] of CROWDS) {
  nodeTest.test(`a node serves beside clients that send ${kind}`, async () => {
    await using all = await crowdFixture.startPlatformFleet();
    const [node] = all.nodes;
    const target = crowdFixture.platformTarget(all, node);
    const options = {address: node.callers, clients: CLIENTS, act};
    await crowdFixture.checkServesBeside(target, options);
  });
}
