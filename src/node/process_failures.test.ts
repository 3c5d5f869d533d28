import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as nodeTest from 'node:test';

import * as processFailures from './process_failures.js';

const {test} = nodeTest;

/** Runs a script that reports its failure on standard output. */
function run(script: string): {
  readonly status: number | null;
  readonly failure: processFailures.ProcessFailure;
} {
  const module = new URL('./process_failures.js', import.meta.url).href;
  const text = `
    const failures = await import(${JSON.stringify(module)});
    failures.exitOnUnhandled(f => console.log(JSON.stringify(f)));
    ${script}`;
  const {status, stdout} = childProcess.spawnSync(
    process.execPath,
    ['--input-type=module', '--eval', text],
    {encoding: 'utf8'},
  );
  return {status, failure: JSON.parse(stdout)};
}

for (const [step, script] of [
  ['uncaughtException', 'setImmediate(() => {throw new Error("broken");});'],
  ['unhandledRejection', 'void Promise.reject(new Error("broken"));'],
] as const) {
  test(`an end by ${script} names its step and cause`, () => {
    const {status, failure} = run(script);
    assert.equal(status, processFailures.UNHANDLED_STATUS);
    assert.equal(failure.step, step);
    assert.match(failure.cause, /^Error: broken\n +at /);
  });
}

test('a thrown value that is no error is reported as text', () => {
  const {failure} = run('setImmediate(() => {throw 7;});');
  assert.equal(failure.cause, '7');
});
