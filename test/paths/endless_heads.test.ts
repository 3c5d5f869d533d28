import * as nodeTest from 'node:test';

import * as clientCrowd from './client_crowd.js';
import * as crowdFixture from './crowd_fixture.js';

const {endless, once, trickling} = crowdFixture;

const HEAD = 'Host: shop.example\r\nRequest-Id: r\r\nDeadline-Ms: 500\r\n';
const GET = `GET /history/1 HTTP/1.1\r\n${HEAD}`;

const LINE = `Name: ${'x'.repeat(250)}\r\n`;
const FILLER = 'x'.repeat(16_000);

/** Just over the limit of 8,192 bytes. */
const LONG_HEAD = `${GET}Long: ${'x'.repeat(8_192)}\r\n\r\n`;

interface Crowd {
  readonly kind: string;
  readonly act: clientCrowd.ClientAction;
  readonly clients?: number;
}

const CLIENTS = 40;

const CROWDS: readonly Crowd[] = [
  {
    kind: 'empty lines without end before a request',
    act: endless('', '\r\n'.repeat(4_000)),
  },
  {
    kind: 'empty lines without end behind an answered request',
    act: endless(`${GET}\r\n`, '\r\n'.repeat(4_000)),
  },
  {kind: 'empty lines a byte at a time', act: trickling('', '\r\n')},
  {
    kind: 'empty lines a byte at a time behind an answered request',
    act: trickling(`${GET}\r\n`, '\r\n'),
  },
  {kind: 'head lines without end', act: endless(GET, LINE.repeat(40))},
  {kind: 'a header value without end', act: endless(`${GET}Long: `, FILLER)},
  {kind: 'a request line without end', act: endless('GET /', FILLER)},
  {
    kind: 'heads just over the limit again and again',
    act: endless('', LONG_HEAD),
  },
  {
    kind: 'heads of 60 kB left open',
    act: once(`${GET}${LINE.repeat(230)}`),
    clients: 150,
  },
  {kind: 'a head a byte at a time', act: trickling(GET, LINE)},
  {
    kind: 'a head a byte at a time behind an answered request',
    act: trickling(`${GET}\r\n${GET}`, LINE),
  },
];

for (const {kind, act, clients = CLIENTS} of CROWDS) {
  nodeTest.test(`a node serves beside clients that send ${kind}`, async () => {
    await using all = await crowdFixture.startPlatformFleet();
    const [node] = all.nodes;
    const target = crowdFixture.platformTarget(all, node);
    const address = node.callers;
    await crowdFixture.checkServesBeside(target, {address, clients, act});
  });
}
