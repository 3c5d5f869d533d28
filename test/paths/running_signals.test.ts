import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';

import * as child from './child.js';
import * as loneNode from './lone_node.js';
import * as platformFleet from './platform_fleet.js';

const {before, test} = nodeTest;

const WAIT_MS = 5_000;

/** Pause between signals of a series, in ms. */
const SERIES_MS = 2;

/** Work of the backend server that keeps a planned stop waiting, in ms. */
const WORK_MS = 300;

before(loneNode.build);

for (const signal of [
  'SIGUSR1',
  'SIGUSR2',
  'SIGALRM',
  'SIGVTALRM',
  'SIGPROF',
  'SIGIO',
] as const) {
  test(`${signal} is logged and does not end a running node`, async () => {
    const {text} = await loneNode.settings();
    await using node = loneNode.start(child.temporaryFile('node.jsonc', text));
    await node.waitForOutput('"event":"start"');
    node.signal(signal);
    await child.waitUntil(
      () => !node.isRunning || node.printed.includes('signal-ignored'),
      WAIT_MS,
      () => `a line for ${signal}; printed ${node.printed}`,
    );
    assert.match(
      node.printed,
      new RegExp(`"event":"signal-ignored".*"signal":"${signal}"`),
    );
    assert.doesNotMatch(node.printed, /Debugger/);
    node.signal('SIGTERM');
    assert.equal(await node.exitStatus(), 0, node.printed);
  });
}

test('SIGQUIT ends a node as it does without a handler', async () => {
  const {text} = await loneNode.settings();
  await using node = loneNode.start(child.temporaryFile('node.jsonc', text));
  await node.waitForOutput('"event":"start"');
  node.signal('SIGQUIT');
  assert.equal(await node.exitStatus(), null);
});

/** Sends signals in turn until the process has ended. */
async function sendSeries(
  node: child.Child,
  series: readonly NodeJS.Signals[],
): Promise<void> {
  const endMs = performance.now() + WAIT_MS;
  for (let i = 0; node.isRunning && performance.now() < endMs; i++) {
    node.signal(series[i % series.length]);
    await new Promise(resolve => setTimeout(resolve, SERIES_MS));
  }
}

test('SIGHUP and SIGTERM in series do not disturb a planned stop', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const [node] = fleet.nodes;
  for (const {server} of fleet.nodes) {
    server.mode = {kind: 'ok', workMs: WORK_MS};
  }
  const answer = fleet.send(node, {id: 'slow'});
  await child.waitUntil(
    () => fleet.nodes.some(({server}) => server.running > 0),
    WAIT_MS,
    () => 'the request to run',
  );
  const text = fs.readFileSync(node.settings, 'utf8');
  const changed = {...JSON.parse(text), server: '127.0.0.1:9'};
  node.process.signal('SIGTERM');
  await node.process.waitForOutput('"event":"stop"');
  fs.writeFileSync(node.settings, JSON.stringify(changed));
  await sendSeries(node.process, ['SIGHUP', 'SIGTERM', 'SIGINT']);
  assert.equal(await node.process.exitStatus(), 0, node.process.printed);
  assert.equal((await answer).status, 200);
  assert.doesNotMatch(node.process.printed, /"event":"(failed|reload)"/);
});
