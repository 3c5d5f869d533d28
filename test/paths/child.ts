/** Processes of the product and of the stand-ins, started by tests. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';

const START_TIMEOUT_MS = 30_000;

const STOP_TIMEOUT_MS = 10_000;

const BUILD_ROOT = path.resolve(import.meta.dirname, '../..');

/** A started process; disposing it kills it. */
export class Child implements AsyncDisposable {
  private readonly exited: Promise<number | null>;
  private output = '';

  constructor(
    readonly process: childProcess.ChildProcess,
    readonly name: string,
  ) {
    this.exited = new Promise(resolve =>
      process.once('exit', code => resolve(code)),
    );
    for (const stream of [process.stdout, process.stderr]) {
      stream?.on('data', chunk => (this.output += String(chunk)));
    }
  }

  /** Everything printed so far. */
  get printed(): string {
    return this.output;
  }

  signal(name: NodeJS.Signals): void {
    this.process.kill(name);
  }

  /** Resolves with the exit status, null after a signal. */
  async exitStatus(): Promise<number | null> {
    return within(this.exited, STOP_TIMEOUT_MS, `${this.name} to exit`);
  }

  /** Resolves once `text` has been printed. */
  async prints(text: string): Promise<void> {
    await until(
      () => this.output.includes(text),
      START_TIMEOUT_MS,
      () => `${this.name} to print ${text}; it printed ${this.output}`,
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.process.kill('SIGCONT');
    this.process.kill('SIGKILL');
    await this.exited;
  }
}

/** Starts a compiled program of the repository. */
export function startProgram(
  name: string,
  program: string,
  args: readonly string[],
  nodeArgs: readonly string[] = [],
): Child {
  const file = path.join(BUILD_ROOT, program);
  const command = [...nodeArgs, file, ...args];
  const started = childProcess.spawn(process.execPath, command, {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  return new Child(started, name);
}

let temporaryDirectory: string | undefined;

/** Directory of this process for temporary files, removed at its exit. */
function temporaryRoot(): string {
  if (temporaryDirectory !== undefined) return temporaryDirectory;
  const made = fs.mkdtempSync(path.join(os.tmpdir(), 'geraniumloft-'));
  process.once('exit', () => fs.rmSync(made, {recursive: true}));
  temporaryDirectory = made;
  return made;
}

/** Writes a temporary file, removed with the process. */
export function temporaryFile(name: string, text: string): string {
  const directory = fs.mkdtempSync(path.join(temporaryRoot(), 'file-'));
  const file = path.join(directory, name);
  fs.writeFileSync(file, text);
  return file;
}

/** Ports below those that systems give to outgoing connections. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 20_000;

/** Processes of a test run start their search for ports apart from each other. */
const PORT_STRIDE = 97;

let nextPort = (process.pid * PORT_STRIDE) % PORT_COUNT;

/** Returns ports that were free just now, each given once by this process. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + nextPort;
    nextPort = (nextPort + 1) % PORT_COUNT;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  const free = await new Promise<boolean>(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => resolve(true));
  });
  if (free) await new Promise(resolve => server.close(resolve));
  return free;
}

/** Waits for a condition; fails after the timeout. */
export async function until(
  condition: () => boolean | Promise<boolean>,
  timeoutMs: number,
  describe: () => string,
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endMs) {
      throw new Error(`timed out waiting for ${describe()}`);
    }
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

/** Fails if a promise does not settle in time. */
export async function within<T>(
  promise: Promise<T>,
  timeoutMs: number,
  what: string,
): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(
      () => reject(new Error(`timed out waiting for ${what}`)),
      timeoutMs,
    );
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
