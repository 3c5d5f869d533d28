/**
 * Starts and stops the bundled daemon many times and counts how its processes end:
 * `npm run soak:starts -- --starts 2000 --parallel 4`. A process that does not exit with 0 after
 * SIGTERM fails the trial.
 */
import * as util from 'node:util';

import * as bundle from '../paths/bundle.js';
import * as child from '../paths/child.js';

/** Requests to the readiness and caller ports between start and stop. */
const REQUESTS = 20;

const {values} = util.parseArgs({
  options: {
    starts: {type: 'string', default: '200'},
    parallel: {type: 'string', default: '4'},
  },
});

const ends = new Map<string, number>();
let started = 0;

/** Requests are answered as unconfigured, since the store does not exist. */
async function sendRequests(addresses: readonly string[]): Promise<void> {
  for (let i = 0; i < REQUESTS; i++) {
    const address = addresses[i % addresses.length];
    const res = await fetch(`http://${address}/ready`, {
      headers: {'Request-Id': `r${i}`},
    });
    await res.arrayBuffer();
  }
}

async function startAndStop(ports: readonly number[]): Promise<string> {
  const addresses = ports.map(port => `127.0.0.1:${port}`);
  const [server, store, callers, peers, announcements, readiness] = addresses;
  const listen = {callers, peers, announcements, readiness};
  const text = JSON.stringify({
    nodeId: 'node-0',
    dataCentre: 'north',
    service: 'orders',
    server,
    listen,
    store,
    bounds: {grace_s: 1},
  });
  const settings = child.temporaryFile('node.jsonc', text);
  const args = ['--settings', settings];
  await using daemon = child.startProgram(
    'node-0',
    bundle.BUNDLE,
    args,
    bundle.NODE_ARGS,
  );
  await daemon.waitForOutput('"event":"start"');
  await sendRequests([callers, readiness]);
  daemon.signal('SIGTERM');
  const status = await daemon.exitStatus();
  return `${daemon.unexpectedSignal ?? `exit ${status}`}`;
}

async function run(): Promise<void> {
  const ports = await child.freePorts(6);
  while (started < Number(values.starts)) {
    started++;
    const end = await startAndStop(ports).catch(err => String(err));
    ends.set(end, (ends.get(end) ?? 0) + 1);
  }
}

await Promise.all(Array.from({length: Number(values.parallel)}, run));
console.log(JSON.stringify(Object.fromEntries(ends)));
process.exitCode = ends.size === 1 && ends.has('exit 0') ? 0 : 1;
