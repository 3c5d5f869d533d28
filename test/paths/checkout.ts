/** Copies of the checkout for tests of the platform's build. */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as child from './child.js';

const DEPLOY_FILE = 'deploy/system.toml';

/** What a build reads, besides modules. */
const SOURCES = [
  '.npmrc',
  'deploy',
  'package-lock.json',
  'package.json',
  'platform',
  'src',
  'tools',
  'tsconfig.json',
];

/** Record of npm about what is installed. */
const RECORD = 'node_modules/.package-lock.json';

/** What the stand-in of npm installs. */
const INSTALLED = 'bin/installed.json';
const PACKAGES = 'bin/packages';

/** Exists while the stand-in of npm hangs. */
const HANGS = 'bin/hangs';

/** Packages of the bundler, one for each kind of machine. */
const BUNDLER = /^node_modules\/(@esbuild\/.*|esbuild)$/;

const INSTALL_START_MS = 30_000;

/** Scripts that a build makes. */
export const SCRIPTS = [
  'geraniumloft-node.cjs',
  'geraniumloft-node-daemon.cjs',
];

/**
 * Stands in for npm: copies the modules listed in PACKAGES from this checkout, npm's record last.
 * HANG_AT names the package before which it hangs, FAIL_WITH the status with which it fails, and
 * FAIL_ONCE a directory that it makes when it fails for the first time.
 */
const NPM = `#!/bin/sh
[ -z "$FAIL_WITH" ] || exit "$FAIL_WITH"
if [ -n "$FAIL_ONCE" ] && mkdir "$FAIL_ONCE"; then exit 1; fi
rm -rf node_modules
mkdir node_modules
target=$PWD
cd "$MODULES_ROOT" || exit 1
if [ -z "$HANG_AT" ]; then
  xargs cp -a --parents -t "$target" < "$PACKAGES" || exit 1
else
  set -e
  sed "/^node_modules\\/$HANG_AT$/,\\$d" "$PACKAGES" | xargs cp -a --parents -t "$target"
  : > "$HANGS"
  exec sleep 60
fi
cp "$RECORD" "$target/node_modules/.package-lock.json"
`;

/** A package of a lock file. */
interface LockedPackage {
  readonly version?: string;
  readonly integrity?: string;
  readonly dev?: boolean;
  readonly devDependencies?: Readonly<Record<string, string>>;
}

/** Packages of a lock file by directory; that of the project is ''. */
export type LockedPackages = Readonly<Record<string, LockedPackage>>;

/** What this project reads of package.json and lock files. */
interface Manifest extends LockedPackage {
  readonly packages: LockedPackages;
}

function readManifest(file: string): Manifest {
  return JSON.parse(fs.readFileSync(file, 'utf8')) as Manifest;
}

/** Leaves out the packages for development that a build does not need. */
function neededPackages(packages: LockedPackages): LockedPackages {
  return Object.fromEntries(
    Object.entries(packages)
      .filter(([name, {dev}]) => !dev || BUNDLER.test(name))
      .map(([name, entry]) => [name, neededDependencies(entry)]),
  );
}

function neededDependencies<T extends LockedPackage>(manifest: T): T {
  const {devDependencies} = manifest;
  if (devDependencies === undefined) return manifest;
  const {esbuild} = devDependencies;
  return {...manifest, devDependencies: {esbuild}};
}

/** How a build is run. */
export interface BuildOptions {
  /** Variables for the stand-in of npm. */
  readonly variables?: NodeJS.ProcessEnv;
  /** Runs npm itself instead of its stand-in. */
  readonly usesNpm?: boolean;
  readonly umask?: string;
}

/** How a build ended. */
export interface BuildResult {
  /** Exit status, or null if a signal ended the build. */
  readonly status: number | null;
  readonly printed: string;
}

/** A build that runs. */
export interface RunningBuild {
  readonly result: Promise<BuildResult>;
  /** Ends the build and all that it started. */
  readonly kill: () => void;
}

/**
 * A copy of this checkout with only the packages that a build needs, not installed. Disposing it
 * ends its builds and removes it.
 */
export class Checkout implements Disposable {
  private readonly running = new Set<RunningBuild>();

  private constructor(
    private readonly root: string,
    private readonly buildLine: string,
  ) {}

  static create(): Checkout {
    const root = fs.mkdtempSync(path.join(os.tmpdir(), 'geraniumloft-'));
    for (const name of SOURCES) {
      fs.cpSync(name, path.join(root, name), {recursive: true});
    }
    const [, line] =
      /^build = "(.*)"$/m.exec(fs.readFileSync(DEPLOY_FILE, 'utf8')) ?? [];
    if (line === undefined) throw new Error(`${DEPLOY_FILE} has no build line`);
    const checkout = new Checkout(root, line);
    checkout.writeManifests();
    // A folder of modules that is made later is newer by any clock.
    fs.utimesSync(checkout.path('package-lock.json'), 0, 0);
    return checkout;
  }

  /** Returns a checkout with whole modules. */
  static createInstalled(): Checkout {
    const checkout = Checkout.create();
    const packages = checkout.read(PACKAGES).trim().split('\n');
    childProcess.execFileSync('cp', [
      '-a',
      '--parents',
      ...packages,
      checkout.root,
    ]);
    fs.copyFileSync(checkout.path(INSTALLED), checkout.path(RECORD));
    return checkout;
  }

  private writeManifests(): void {
    const lock = readManifest('package-lock.json');
    this.writeJson('package-lock.json', {
      ...lock,
      packages: neededPackages(lock.packages),
    });
    this.writeJson(
      'package.json',
      neededDependencies(readManifest('package.json')),
    );
    const record = readManifest(RECORD);
    const installed = neededPackages(record.packages);
    fs.mkdirSync(this.path('bin'));
    this.writeJson(INSTALLED, {...record, packages: installed});
    this.write(PACKAGES, `${Object.keys(installed).join('\n')}\n`);
    this.write('bin/npm', NPM);
    fs.chmodSync(this.path('bin/npm'), 0o755);
  }

  [Symbol.dispose](): void {
    for (const running of this.running) running.kill();
    fs.rmSync(this.root, {recursive: true, force: true});
  }

  path(name: string): string {
    return path.join(this.root, name);
  }

  read(name: string): string {
    return fs.readFileSync(this.path(name), 'utf8');
  }

  remove(name: string): void {
    fs.rmSync(this.path(name), {recursive: true});
  }

  write(name: string, text: string): void {
    fs.writeFileSync(this.path(name), text);
  }

  private writeJson(name: string, value: object): void {
    this.write(name, JSON.stringify(value));
  }

  /** Replaces the record of npm about what is installed. */
  changeRecord(change: (packages: LockedPackages) => LockedPackages): void {
    const record = readManifest(this.path(RECORD));
    this.writeJson(RECORD, {...record, packages: change(record.packages)});
  }

  private isInstalling(): boolean {
    const target = this.path('target');
    const names = fs.existsSync(target) ? fs.readdirSync(target) : [];
    return ['.', ...names.map(name => `target/${name}`)]
      .map(name => this.path(`${name}/node_modules`))
      .some(name => fs.existsSync(name) && fs.readdirSync(name).length > 0);
  }

  /** Starts the build as the platform does. */
  startBuild(options: BuildOptions = {}): RunningBuild {
    const {PATH} = process.env;
    const started = childProcess.spawn(
      'sh',
      ['-c', `umask ${options.umask ?? '022'}; ${this.buildLine}`],
      {
        cwd: this.root,
        detached: true,
        stdio: ['ignore', 'pipe', 'pipe'],
        env: {
          ...process.env,
          PATH: options.usesNpm ? PATH : `${this.path('bin')}:${PATH}`,
          MODULES_ROOT: process.cwd(),
          PACKAGES: this.path(PACKAGES),
          RECORD: this.path(INSTALLED),
          HANGS: this.path(HANGS),
          ...options.variables,
        },
      },
    );
    let printed = '';
    for (const stream of [started.stdout, started.stderr]) {
      stream.on('data', chunk => (printed += String(chunk)));
    }
    const running = {
      result: new Promise<BuildResult>(resolve =>
        started.once('close', status => {
          this.running.delete(running);
          resolve({status, printed});
        }),
      ),
      kill: () => process.kill(-started.pid!, 'SIGKILL'),
    };
    this.running.add(running);
    return running;
  }

  /** Runs the build to its end. */
  build(options: BuildOptions = {}): Promise<BuildResult> {
    return this.startBuild(options).result;
  }

  /** Waits until an install has put the first package in place. */
  async waitForInstall(): Promise<void> {
    await child.waitUntil(
      () => this.isInstalling(),
      INSTALL_START_MS,
      () => 'an install to begin',
    );
  }

  /** Ends a build in its install: where the stand-in of npm hangs, or once npm has begun. */
  async killInstall(options: BuildOptions): Promise<void> {
    const running = this.startBuild(options);
    await (options.usesNpm ? this.waitForInstall() : this.waitForHang());
    running.kill();
    await running.result;
  }

  private async waitForHang(): Promise<void> {
    await child.waitUntil(
      () => fs.existsSync(this.path(HANGS)),
      INSTALL_START_MS,
      () => 'the install to hang',
    );
  }
}

/** Expects a build that succeeded and whole scripts. */
export function expectBuilt(
  checkout: Checkout,
  {status, printed}: BuildResult,
): void {
  assert.equal(status, 0, printed);
  for (const script of SCRIPTS) {
    childProcess.execFileSync(process.execPath, [
      '--check',
      checkout.path(`target/${script}`),
    ]);
  }
}
