import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as nodeTest from 'node:test';
import * as util from 'node:util';

import * as bundle from './bundle.js';
import * as platformFleet from './platform_fleet.js';

const execFile = util.promisify(childProcess.execFile);

nodeTest.test('the bundled daemon works like the compiled one', async () => {
  await execFile(process.execPath, ['tools/bundle.mjs']);
  await using fleet = await platformFleet.PlatformFleet.start(2, {
    program: bundle.BUNDLE,
  });
  fleet.nodes[0].server.mode = {kind: 'answer-lost'};
  const answers = await Promise.all(
    Array.from({length: 10}, (unused, i) =>
      fleet.send(fleet.nodes[i % 2], {id: `b${i}`}),
    ),
  );
  const answered = answers.filter(answer => answer.status === 200);
  assert.ok(answered.length > 0);
  for (const {body} of answered) assert.match(body, /^i1:b\d$/);
  const [node] = fleet.nodes;
  node.process.signal('SIGTERM');
  assert.equal(await node.process.exitStatus(), 0, node.process.printed);
});
