/** Processor time to encode, send, receive and decode datagrams on the loopback interface. */
import * as dgram from 'node:dgram';

import * as peer from '../../src/generated/peer.js';
import * as measurement from './measurement.js';

const RATES_PER_SECOND = [100, 400, 1_600];
const WARM_UP_RATE_PER_SECOND = 1_000;
const MEASURED_SECONDS = 3;
const MS_PER_SECOND = 1_000;
const TICK_MS = 10;

const UPDATES: readonly peer.LivenessUpdate[] = Array.from(
  {length: 4},
  (_, i) => ({
    nodeId: `orders-${i}`,
    incarnation: 1_700_000_000_000,
    state: peer.LivenessState.ALIVE,
    refutation: 0,
  }),
);

const DATAGRAM: peer.Datagram = peer.Datagram.fromPartial({
  nodeId: 'orders-1',
  incarnation: 1_700_000_000_000,
  configurationRevision: 12,
  rosterOffset: 3_000,
  body: {$case: 'probe', value: {sequence: 7}},
  updates: UPDATES,
});

async function bind(): Promise<dgram.Socket> {
  const socket = dgram.createSocket('udp4');
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve));
  return socket;
}

async function usedUsPerSecond(ratePerSecond: number): Promise<number> {
  const [from, to] = [await bind(), await bind()];
  let received = 0;
  to.on('message', bytes => {
    peer.Datagram.decode(bytes);
    received += 1;
  });
  const startUs = totalProcessorUs();
  for (let sent = 0; sent < ratePerSecond * MEASURED_SECONDS;) {
    const batch = (ratePerSecond * TICK_MS) / MS_PER_SECOND;
    for (let i = 0; i < batch; i++, sent++) {
      from.send(
        peer.Datagram.encode(DATAGRAM).finish(),
        to.address().port,
        '127.0.0.1',
      );
    }
    await new Promise(resolve => setTimeout(resolve, TICK_MS));
  }
  const usedUs = totalProcessorUs() - startUs;
  from.close();
  to.close();
  if (received === 0) throw new Error('no datagram was received');
  return usedUs / MEASURED_SECONDS;
}

function totalProcessorUs(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}

/** Measures processor time by datagrams per second; throws if no datagram arrives. */
export async function measureDatagramCost(): Promise<
  readonly measurement.Measurement[]
> {
  await usedUsPerSecond(WARM_UP_RATE_PER_SECOND);
  const points = [];
  for (const rate of RATES_PER_SECOND) {
    points.push({x: rate, y: await usedUsPerSecond(rate)});
  }
  return [
    {
      role: 'datagrams',
      size: 'datagrams a second, sent and received',
      cost: 'us of processor a second',
      points,
    },
  ];
}
