/** Runs the compiled tests; only failures listed in KNOWN-RED.txt are tolerated. */
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
const MILLIS_PER_SECOND = 1_000;
const PROCESS_TEST_PREFIXES = ['test/paths/', 'test/soak/', 'src/cli/'];

function testFiles(filter: string | undefined): readonly string[] {
  return fs
    .readdirSync(BUILD_DIRECTORY, {recursive: true, encoding: 'utf8'})
    .filter(name => name.endsWith(TEST_SUFFIX) && sourceExists(name))
    .filter(name => filter === undefined || name.includes(filter))
    .map(name => path.resolve(BUILD_DIRECTORY, name))
    .sort();
}

/** Returns whether the source of a compiled file still exists; stale build output is skipped. */
function sourceExists(builtName: string): boolean {
  return fs.existsSync(builtName.replace(/\.js$/, '.ts'));
}

/** Tests that spawn processes run one file at a time, so that they do not starve each other. */
function runsProcesses(file: string): boolean {
  const name = path.relative(BUILD_DIRECTORY, file);
  return PROCESS_TEST_PREFIXES.some(prefix => name.startsWith(prefix));
}

/** What is used of the event of a test that passed. */
interface PassEvent {
  readonly file?: string;
  readonly name: string;
  readonly details: {readonly duration_ms: number};
}

/** Returns `file > name`, with the file relative to the build directory. */
function fullTestName(event: {
  readonly file?: string;
  readonly name: string;
}): string {
  const file = path.relative(path.resolve(BUILD_DIRECTORY), event.file ?? '');
  return `${file} > ${event.name}`;
}

const knownFailures = knownRed.readKnownRed(KNOWN_RED_FILE);
const passed = new Set<string>();
const failed = new Set<string>();

/** Tests of each file that passed, with their durations, in the order of their ends. */
const passedByFile = new Map<string, string[]>();

function addPassed(event: PassEvent): void {
  const {file = '', name, details} = event;
  const seconds = (details.duration_ms / MILLIS_PER_SECOND).toFixed(1);
  const tests = passedByFile.get(file) ?? [];
  passedByFile.set(file, [...tests, `${name}: ${seconds} s`]);
  passed.add(fullTestName(event));
}

/** Prints what had passed in a file that failed as a whole, for example at its timeout. */
function printPassedTests(failure: string): void {
  const file = failure.split(' > ').at(-1) ?? '';
  for (const test of passedByFile.get(file) ?? []) console.log(`  ${test}`);
}

/** Runs test files and adds their results to `passed` and `failed`. */
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
    if (event.details.type !== 'suite') addPassed(event);
  });
  stream.on('test:fail', event => {
    if (event.details.type !== 'suite') failed.add(fullTestName(event));
  });
  const printed = stream.compose(new reporters.spec());
  printed.pipe(process.stdout, {end: false});
  return new Promise(resolve => printed.once('end', resolve));
}

/** Returns the result of a known failure; those of the users' bench are not run here. */
function knownFailureState({test}: knownRed.KnownRed): string {
  if (failed.has(test)) return 'known red';
  return passed.has(test)
    ? 'KNOWN-RED ENTRY DID NOT FAIL'
    : 'known red, not run here';
}

/** Prints the results and sets the exit code: 1 if a test failed unexpectedly or none passed. */
function reportResults(): void {
  const knownNames = new Set(knownFailures.map(entry => entry.test));
  const newFailures = [...failed].filter(name => !knownNames.has(name));
  for (const entry of knownFailures) {
    console.log(
      `${knownFailureState(entry)}: ${entry.test} | ${entry.command} | ${entry.seen} | ${entry.issue}`,
    );
  }
  for (const name of newFailures) {
    console.log(`failed: ${name}`);
    printPassedTests(name);
  }
  console.log(`${passed.size} passed, ${newFailures.length} failed`);
  process.exitCode = newFailures.length > 0 || passed.size === 0 ? 1 : 0;
}

const files = testFiles(process.argv[2]);
await runFiles(
  files.filter(file => !runsProcesses(file)),
  PARALLEL_FILES,
);
await runFiles(files.filter(runsProcesses), 1);
reportResults();
