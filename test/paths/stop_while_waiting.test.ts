import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const WAIT_MS = 10_000;

/** Work of the backend servers, in ms. */
const WORK_MS = 500;

/** Requests that are sent until one runs at the node that waits. */
const REQUESTS = 30;

/** Status of a request that may have run and has no answer. */
const BAD_GATEWAY = 502;

/** Holds a port until it is disposed. */
async function holdPort(address: string): Promise<AsyncDisposable> {
  const [host, port] = address.split(':');
  const holder = net.createServer(socket => socket.destroy());
  await new Promise<void>((resolve, reject) => {
    holder.once('error', reject);
    holder.listen(Number(port), host, resolve);
  });
  return {
    [Symbol.asyncDispose]: () =>
      new Promise(resolve => holder.close(() => resolve())),
  };
}

// Other nodes use the port for peers while the port for callers is waited for.
test('SIGTERM while a port is waited for does not cut off a request of another node', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const [stopped, other] = fleet.nodes;
  stopped.process.signal('SIGKILL');
  await stopped.process.exitStatus();
  await using unusedHolder = await holdPort(stopped.callers);
  const daemon = child.startProgram('waiting', 'src/daemon/main.js', [
    '--settings',
    stopped.settings,
  ]);
  await using unusedDaemon = daemon;
  await daemon.waitForOutput('listen-waiting');
  await daemon.waitForOutput('"closure":"CLOSURE_OPEN"');
  for (const {server} of [stopped, other]) {
    server.mode = {kind: 'ok', workMs: WORK_MS};
  }
  const answers: Array<Promise<platformFleet.CallerAnswer>> = [];
  await child.waitUntil(
    () => {
      const id = `unsafe-${answers.length}`;
      const request = {id, method: 'POST', path: '/place/1'};
      if (answers.length < REQUESTS) answers.push(fleet.send(other, request));
      return stopped.server.running > 0;
    },
    WAIT_MS,
    () => `a request to run; it printed ${daemon.printed}`,
  );
  daemon.signal('SIGTERM');
  const statuses = (await Promise.all(answers)).map(({status}) => status);
  assert.ok(!statuses.includes(BAD_GATEWAY), `${statuses} ${daemon.printed}`);
});
