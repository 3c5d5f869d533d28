import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';

import * as documents from '../stand_ins/platform/documents.js';
import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const OPERATIONS_PAGE = 'docs/OPERATIONS.md';

const TRACE_TIMEOUT_MS = 5_000;

/** Runs the trace command on the logs of all nodes and returns the decision it prints. */
async function trace(
  fleet: platformFleet.PlatformFleet,
  requestId: string,
): Promise<string> {
  const files = fleet.nodes.map(node =>
    child.temporaryFile(`${node.name}.log`, node.process.printed),
  );
  const args = ['trace', requestId, '--logs', ...files];
  const program = 'src/cli/main.js';
  await using started = child.startProgram('trace', program, args);
  assert.equal(await started.exitStatus(), 0, started.printed);
  await child.waitUntil(
    () => started.printed.includes('decided by:'),
    TRACE_TIMEOUT_MS,
    () => `a decision in ${started.printed}`,
  );
  return started.printed.split('decided by: ')[1].trim();
}

/** Checks that the page shows the line, by the words that are the same in every run. */
function assertInOperationsPage(decided: string): void {
  const words = decided
    .split(' ')
    .filter(word =>
      /^(entry|gate|refused|gave-up|reason=|mayHaveRun=|serverDied=|closure=)/.test(
        word,
      ),
    )
    .join(' ');
  const page = fs.readFileSync(OPERATIONS_PAGE, 'utf8');
  assert.ok(page.includes(words), `${OPERATIONS_PAGE} does not show: ${words}`);
}

test('a request refused for lack of capacity is traced to the gate that refused it', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(1);
  const [node] = fleet.nodes;
  node.server.mode = {kind: 'ok', workMs: 500};
  const answers = await Promise.all(
    Array.from({length: 60}, (unused, i) =>
      fleet.send(node, {id: `full${i}`, deadlineMs: 1_500}),
    ),
  );
  const refused = answers.findIndex(({status}) => status === 503);
  assert.ok(refused >= 0);
  assert.ok(Number(answers[refused].headers['retry-after']) > 0);
  const decided = await trace(fleet, `full${refused}`);
  assert.match(decided, / gate refused .*reason=REASON_(OVERLOADED|NO_TIME) /);
  assert.match(decided, /waiting=\d+ limit=8/);
  assertInOperationsPage(decided);
});

test('a request whose answer was lost is traced to its server, which is alive', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(1);
  const [node] = fleet.nodes;
  node.server.mode = {kind: 'answer-lost'};
  const req = {id: 'lost', path: '/place/1', method: 'POST', body: 'order'};
  const {status} = await fleet.send(node, req);
  assert.equal(status, 502);
  const decided = await trace(fleet, 'lost');
  assert.match(
    decided,
    /reason=REASON_BROKEN mayHaveRun=true serverDied=false/,
  );
  assertInOperationsPage(decided);
});

test('a request to a leaving server is traced to the closed gate', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(1);
  const [node] = fleet.nodes;
  node.server.mode = {kind: 'ok', workMs: 400};
  const sent = Array.from({length: 10}, (unused, i) =>
    fleet.send(node, {id: `leave${i}`}),
  );
  await child.waitUntil(
    () => node.server.running === 8,
    TRACE_TIMEOUT_MS,
    () => 'the slots to fill',
  );
  await node.server.announce(node.control, 'draining');
  const answers = await Promise.all(sent);
  const refused = answers.findIndex(({status}) => status === 503);
  const decided = await trace(fleet, `leave${refused}`);
  assert.match(decided, /reason=REASON_CLOSED/);
  assert.match(decided, /closure=CLOSURE_SERVER_LEAVING/);
  assertInOperationsPage(decided);
});

test('a request whose gate was silent is traced to the entry that waited for it', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2, {
    services: ['maps'],
    configuration: {services: ['maps', 'orders'].map(documents.service)},
  });
  const [entry, gate] = fleet.nodes;
  gate.server.mode = {kind: 'hang'};
  const sent = fleet.send(entry, {id: 'silent'});
  await child.waitUntil(
    () => fleet.runsOf('silent') === 1,
    TRACE_TIMEOUT_MS,
    () => 'the run to begin',
  );
  gate.process.signal('SIGSTOP');
  assert.equal((await sent).status, 504);
  gate.process.signal('SIGCONT');
  const decided = await trace(fleet, 'silent');
  assert.match(decided, / entry gave-up .*reason=timeout mayHaveRun=true/);
  assertInOperationsPage(decided);
});
