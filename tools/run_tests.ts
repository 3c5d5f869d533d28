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
const PROCESS_TESTS = ['test/paths/', 'test/soak/', 'src/cli/'];

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

/** Tests of whole processes run one file at a time, so that they do not starve each other. */
function startsProcesses(file: string): boolean {
  const name = path.relative(BUILD_DIRECTORY, file);
  return PROCESS_TESTS.some(prefix => name.startsWith(prefix));
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

/** Runs files and notes what passed and failed. */
function runFiles(
  files: readonly string[],
  concurrency: number,
): Promise<void> {
  if (files.length === 0) return Promise.resolve();
  const stream = nodeTest.run({
    files: [...files],
    concurrency,
    timeout: TEST_TIMEOUT_MS,
  });
  stream.on('test:pass', event => {
    if (event.details.type !== 'suite') passed.add(fullName(event));
  });
  stream.on('test:fail', event => {
    if (event.details.type !== 'suite') failed.add(fullName(event));
  });
  const printed = stream.compose(new reporters.spec());
  printed.pipe(process.stdout, {end: false});
  return new Promise(resolve => printed.once('end', resolve));
}

/** What became of a listed failure; those of the users' bench are not run here. */
function stateOf({test}: knownRed.KnownRed): string {
  if (failed.has(test)) return 'known red';
  return passed.has(test)
    ? 'KNOWN-RED ENTRY DID NOT FAIL'
    : 'known red, not run here';
}

/** Prints the verdict and sets the exit code. */
function conclude(): void {
  const red = new Set(listed.map(entry => entry.test));
  const fresh = [...failed].filter(name => !red.has(name));
  for (const entry of listed) {
    console.log(
      `${stateOf(entry)}: ${entry.test} | ${entry.command} | ${entry.seen} | ${entry.issue}`,
    );
  }
  for (const name of fresh) console.log(`failed: ${name}`);
  console.log(`${passed.size} passed, ${fresh.length} failed`);
  process.exitCode = fresh.length > 0 || passed.size === 0 ? 1 : 0;
}

const files = testFiles(process.argv[2]);
await runFiles(
  files.filter(file => !startsProcesses(file)),
  PARALLEL_FILES,
);
await runFiles(files.filter(startsProcesses), 1);
conclude();
