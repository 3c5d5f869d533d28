/** Runs the compiled tests and passes over just the failures listed in KNOWN-RED.txt. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as reporters from 'node:test/reporters';

import * as knownRed from './known_red.js';

const BUILD_DIRECTORY = 'build';
const TEST_SUFFIX = '.test.js';
const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const TEST_TIMEOUT_MS = 300_000;
const PARALLEL_FILES = 4;

function testFiles(filter: string | undefined): readonly string[] {
  return fs
    .readdirSync(BUILD_DIRECTORY, {recursive: true, encoding: 'utf8'})
    .filter(name => name.endsWith(TEST_SUFFIX) && sourceExists(name))
    .filter(name => filter === undefined || name.includes(filter))
    .map(name => path.resolve(BUILD_DIRECTORY, name))
    .sort();
}

/** Passes over output of sources that have been deleted since. */
function sourceExists(builtName: string): boolean {
  return fs.existsSync(builtName.replace(/\.js$/, '.ts'));
}

/** Returns the file of a test, relative to the build directory, and its name. */
function fullName(event: {
  readonly file?: string;
  readonly name: string;
}): string {
  const file = path.relative(path.resolve(BUILD_DIRECTORY), event.file ?? '');
  return `${file} > ${event.name}`;
}

const listed = knownRed.readKnownRed(KNOWN_RED_FILE);
const passed = new Set<string>();
const failed = new Set<string>();

const stream = nodeTest.run({
  files: [...testFiles(process.argv[2])],
  concurrency: PARALLEL_FILES,
  timeout: TEST_TIMEOUT_MS,
});
stream.on('test:pass', event => {
  if (event.details.type !== 'suite') passed.add(fullName(event));
});
stream.on('test:fail', event => {
  if (event.details.type !== 'suite') failed.add(fullName(event));
});
stream.compose(new reporters.spec()).pipe(process.stdout);
process.on('exit', () => {
  const red = new Set(listed.map(entry => entry.test));
  const fresh = [...failed].filter(name => !red.has(name));
  for (const entry of listed) {
    const state = failed.has(entry.test)
      ? 'known red'
      : 'KNOWN-RED ENTRY DID NOT FAIL';
    console.log(
      `${state}: ${entry.test} | ${entry.command} | ${entry.seen} | ${entry.issue}`,
    );
  }
  for (const name of fresh) console.log(`failed: ${name}`);
  console.log(`${passed.size} passed, ${fresh.length} failed`);
  process.exitCode = fresh.length > 0 || passed.size === 0 ? 1 : 0;
});
