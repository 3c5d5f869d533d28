/**
 * Builds the scripts that the platform runs. Modules are installed first unless those there are whole,
 * are of the lock file and work on this machine. Imports no packages, as there may be none yet.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

const TARGET = 'target';
const MODULES = 'node_modules';
const LOCK_FILE = 'package-lock.json';

/** Written by npm when all packages are in place. */
const INSTALLED_FILE = path.join(MODULES, '.package-lock.json');

/** Codes of renames between two file systems, and of a mount point or of a lower layer. */
const NOT_RENAMABLE = ['EXDEV', 'EBUSY'];

/** Files that npm reads to install. */
const INSTALL_INPUTS = ['package.json', LOCK_FILE, '.npmrc'];

/** NODE_ENV=production would leave out the bundler. */
const INSTALL_ARGS = ['ci', '--include=dev', '--loglevel=error'];

/** Two installs fit into the time that the platform allows for a build. */
const INSTALL_TIMEOUT_MS = 6 * 60_000;

const MAX_ATTEMPTS = 4;

/** Prefix of the directories of builds and of the bundler in the target directory. */
const PRIVATE_PREFIX = '.build-';

/** Age at which such a directory belongs to a build that was killed. */
const STALE_MS = 60 * 60_000;

/** A step of the build that failed. */
class StepError extends Error {}

/** Runs a command; throws a StepError that names the step unless it exits with 0. */
function run(step, command, args, options = {}) {
  const {error, signal, status} = childProcess.spawnSync(command, args, {
    stdio: ['ignore', 'inherit', 'inherit'],
    ...options,
  });
  if (status === 0 && error === undefined) return;
  const end =
    error?.message ??
    (signal === null ? `exit status ${status}` : `ended by ${signal}`);
  throw new StepError(
    `step ${step} failed: ${[command, ...args].join(' ')}: ${end}`,
  );
}

/** Returns the packages of a lock file by directory. */
function readPackages(file) {
  return JSON.parse(fs.readFileSync(file, 'utf8')).packages;
}

/** Returns the packages that npm recorded, or undefined if no install was finished. */
function readInstalled() {
  try {
    return readPackages(INSTALLED_FILE);
  } catch {
    return undefined;
  }
}

/** Returns the version of the package in a directory, or undefined if there is none. */
function readVersion(directory) {
  const file = path.join(directory, 'package.json');
  try {
    return JSON.parse(fs.readFileSync(file, 'utf8')).version;
  } catch {
    return undefined;
  }
}

/** Returns why the modules cannot be used, or undefined if they are whole and of the lock file. */
function findFault() {
  const locked = readPackages(LOCK_FILE);
  const installed = readInstalled();
  if (installed === undefined) return 'no finished install is recorded';
  for (const [directory, {version, integrity}] of Object.entries(installed)) {
    const entry = locked[directory];
    if (entry?.version !== version || entry.integrity !== integrity) {
      return `${directory} is not of the lock file`;
    }
    if (readVersion(directory) !== version) return `${directory} is not whole`;
  }
  const missing = Object.keys(locked).find(
    directory =>
      directory !== '' &&
      !locked[directory].optional &&
      installed[directory] === undefined,
  );
  return missing && `${missing} is not installed`;
}

/** Returns what tells the directory of modules from one that replaces it. */
function modulesIdentity() {
  const stats = fs.lstatSync(MODULES, {throwIfNoEntry: false});
  return stats && `${stats.dev}:${stats.ino}:${stats.birthtimeMs}`;
}

/** Removes what builds that were killed left behind. */
function removeStaleDirectories() {
  for (const name of fs.readdirSync(TARGET)) {
    if (!name.startsWith(PRIVATE_PREFIX)) continue;
    const directory = path.join(TARGET, name);
    const stats = fs.statSync(directory, {throwIfNoEntry: false});
    if (stats && Date.now() - stats.mtimeMs > STALE_MS) {
      fs.rmSync(directory, {recursive: true, force: true});
    }
  }
}

/** Copies installed modules to their place. */
function copyModules(directory) {
  const stats = fs.lstatSync(MODULES, {throwIfNoEntry: false});
  // The target of a link may be used by others.
  if (stats?.isSymbolicLink()) fs.unlinkSync(MODULES);
  fs.mkdirSync(MODULES, {recursive: true});
  // Without the record, the next build notices a copy that was interrupted.
  fs.rmSync(INSTALLED_FILE, {force: true});
  for (const name of fs.readdirSync(MODULES)) {
    fs.rmSync(path.join(MODULES, name), {recursive: true, force: true});
  }
  const record = path.join(directory, INSTALLED_FILE);
  fs.cpSync(path.join(directory, MODULES), MODULES, {
    recursive: true,
    verbatimSymlinks: true,
    filter: source => source !== record,
  });
  fs.copyFileSync(record, INSTALLED_FILE);
}

/** Renames installed modules to their place, or copies them where that is not possible. */
function moveModules(found, directory) {
  try {
    if (found !== undefined) {
      fs.renameSync(MODULES, path.join(directory, 'replaced'));
    }
    fs.renameSync(path.join(directory, MODULES), MODULES);
  } catch (error) {
    if (!NOT_RENAMABLE.includes(error.code)) throw error;
    copyModules(directory);
  }
}

/** Puts installed modules in place unless another build has replaced `found` meanwhile. */
function replaceModules(found, directory) {
  if (modulesIdentity() !== found) return;
  try {
    moveModules(found, directory);
  } catch (error) {
    // Another build was faster.
    if (['ENOENT', 'ENOTEMPTY', 'EEXIST'].includes(error.code)) return;
    throw new StepError(`step replace-modules failed: ${error.message}`);
  }
}

/** Installs modules in a directory of this build, then puts them in the place of `found`. */
function install(found) {
  const directory = fs.mkdtempSync(path.join(TARGET, PRIVATE_PREFIX));
  try {
    for (const file of INSTALL_INPUTS) {
      if (fs.existsSync(file))
        fs.copyFileSync(file, path.join(directory, file));
    }
    run('install', 'npm', INSTALL_ARGS, {
      cwd: directory,
      timeout: INSTALL_TIMEOUT_MS,
    });
    replaceModules(found, directory);
  } finally {
    fs.rmSync(directory, {recursive: true, force: true});
  }
}

/** Bundles with the modules there; throws a StepError if they cannot be used. */
function bundle() {
  const fault = findFault();
  if (fault !== undefined) throw new StepError(`modules: ${fault}`);
  run('bundle', process.execPath, ['tools/bundle.mjs']);
}

/** Builds; installs modules when they cannot be used or the bundler fails with them. */
function build() {
  fs.mkdirSync(TARGET, {recursive: true});
  removeStaleDirectories();
  let ownIdentity;
  let hasInstallFailed = false;
  for (let attempt = 1; ; attempt++) {
    const found = modulesIdentity();
    try {
      bundle();
      return;
    } catch (error) {
      const isReplaced = modulesIdentity() !== found;
      const isOwn = found !== undefined && found === ownIdentity;
      if (!(error instanceof StepError)) throw error;
      if (attempt === MAX_ATTEMPTS || (isOwn && !isReplaced)) throw error;
      console.error(`build: ${error.message}`);
      if (isReplaced) continue;
    }
    console.error('build: installing modules');
    try {
      install(found);
      ownIdentity = modulesIdentity();
    } catch (error) {
      if (!(error instanceof StepError) || hasInstallFailed) throw error;
      // It may pass, or another build may have installed meanwhile.
      hasInstallFailed = true;
      console.error(`build: ${error.message}`);
    }
  }
}

// The scripts are run, and the modules may be used, by other users than the one that builds.
process.umask(0o022);
try {
  build();
} catch (error) {
  console.error(
    `build: ${error instanceof StepError ? error.message : error.stack}`,
  );
  process.exitCode = 1;
}
