import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as nodeTest from 'node:test';

const {test} = nodeTest;

/** Uses up the bytes of a log, then throws. */
const SCRIPT = `
  const eventLog = await import(new URL('./serving/event_log.js', BASE));
  const failures = await import(new URL('./process_failures.js', BASE));
  const log = new eventLog.EventLog({
    nodeId: 'node-0',
    processStartedMs: 0,
    bytesPerSecond: 1_000,
    routineShare: 1,
    output: process.stdout,
    nowMs: () => 0,
  });
  const note = (event, facts) =>
    log.write({component: 'node', event, importance: 'belief', facts});
  failures.exitOnUnhandled(failure => note('failed', {...failure}));
  for (let i = 0; i < 100; i++) note('reload', {});
  setImmediate(() => {throw new Error('broken');});`;

// Without a line, nobody can tell an error from other ends of the process.
test('a failure leaves its cause though the log has no bytes left', () => {
  const text = `const BASE = ${JSON.stringify(import.meta.url)};${SCRIPT}`;
  const {status, stdout, stderr} = childProcess.spawnSync(
    process.execPath,
    ['--input-type=module', '--eval', text],
    {encoding: 'utf8'},
  );
  assert.equal(status, 70, stderr);
  assert.match(stdout + stderr, /Error: broken/);
});
