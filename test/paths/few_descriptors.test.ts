import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as bundle from './bundle.js';
import * as child from './child.js';
import * as clientCrowd from './client_crowd.js';
import * as loneNode from './lone_node.js';
import * as platformFleet from './platform_fleet.js';

const {before, test} = nodeTest;

/** Descriptors that the process may have, fewer than its ports accept connections together. */
const MAX_DESCRIPTORS = 48;

/** Connections to each port, more than there are descriptors. */
const CROWD = 280;

const CROWDED_MS = 2_000;
const SERVED_TIMEOUT_MS = 15_000;

before(loneNode.build);

type PortName = 'callers' | 'peers' | 'announcements' | 'readiness';

/** Starts the daemon with a limit of its descriptors. */
function startLimited(settings: string): child.Child {
  const script = `ulimit -n ${MAX_DESCRIPTORS}; exec "$0" "$@"`;
  const daemon = path.resolve('build', bundle.BUNDLE);
  const command = [process.execPath, daemon, '--settings', settings];
  const started = childProcess.spawn('sh', ['-c', script, ...command], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  return new child.Child(started, 'limited');
}

test('a node without free descriptors lives, and serves once there are some', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(1);
  const [node] = fleet.nodes;
  node.process.signal('SIGKILL');
  await node.process.exitStatus();
  const text = fs.readFileSync(node.settings, 'utf8');
  const settings = JSON.parse(text) as {
    readonly listen: {readonly [name in PortName]: string};
  };
  const [port] = await child.freePorts(1);
  const listen = {...settings.listen, metrics: `127.0.0.1:${port}`};
  fs.writeFileSync(node.settings, JSON.stringify({...settings, listen}));
  await using limited = startLimited(node.settings);
  const served = async (id: string): Promise<boolean> => {
    assert.ok(limited.isRunning, limited.printed);
    const answer = await fleet.send(node, {id}).catch(() => undefined);
    return answer?.status === 200;
  };
  await child.waitUntil(
    () => served('before'),
    SERVED_TIMEOUT_MS,
    () => `a request to be answered; it printed ${limited.printed}`,
  );
  const {callers, peers, announcements, readiness, metrics} = listen;
  const crowds = [callers, peers, announcements, readiness, metrics].map(
    address => new clientCrowd.ClientCrowd(address),
  );
  let most = 0;
  for (const crowd of crowds) {
    await crowd.add(CROWD, () => undefined);
    await timers.setTimeout(CROWDED_MS / crowds.length);
    assert.ok(limited.isRunning, limited.printed);
    most = Math.max(most, limited.descriptors);
  }
  assert.ok(most >= MAX_DESCRIPTORS - 1, `${most} descriptors`);
  for (const crowd of crowds) crowd[Symbol.dispose]();
  await child.waitUntil(
    () => served('after'),
    SERVED_TIMEOUT_MS,
    () => `a request to be answered; it printed ${limited.printed}`,
  );
  assert.doesNotMatch(limited.printed, /"event":"failed"/);
});
