/** A bundled daemon without store and backend server, for tests of starts and stops. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as util from 'node:util';

import * as bundle from './bundle.js';
import * as child from './child.js';

const execFile = util.promisify(childProcess.execFile);

/** Number of ports of a node, its backend server and the store. */
export const PORT_COUNT = 6;

/** State of a listening socket in /proc/net/tcp. */
const LISTENING = '0A';

/** Settings of a daemon and where it listens. */
export interface LoneSettings {
  /** The settings document. */
  readonly text: string;
  readonly callersPort: number;
  readonly readiness: string;
}

/** Builds the bundle from the current sources. */
export async function build(): Promise<void> {
  await execFile(process.execPath, ['tools/bundle.mjs']);
}

/** Returns settings with ports that are free; `changes` replaces fields. */
export async function settings(changes: object = {}): Promise<LoneSettings> {
  const ports = await child.freePorts(PORT_COUNT);
  return settingsOn(ports, changes);
}

/** Returns settings with the given ports, `PORT_COUNT` of them. */
export function settingsOn(
  ports: readonly number[],
  changes: object = {},
): LoneSettings {
  const [server, store, callers, peers, announcements, readiness] = ports.map(
    port => `127.0.0.1:${port}`,
  );
  const text = JSON.stringify({
    nodeId: 'node-0',
    dataCentre: 'north',
    service: 'orders',
    server,
    listen: {callers, peers, announcements, readiness},
    store,
    bounds: {grace_s: 1},
    ...changes,
  });
  return {text, callersPort: ports[2], readiness};
}

/** Starts the bundled daemon as the platform does. */
export function start(
  settingsPath: string,
  args: readonly string[] = [],
): child.Child {
  return child.startProgram(
    'node-0',
    bundle.BUNDLE,
    ['--settings', settingsPath, ...args],
    bundle.NODE_ARGS,
  );
}

/** Whether a process has a handler for a signal, false if it has ended. */
export function catches(node: child.Child, signal: NodeJS.Signals): boolean {
  try {
    const status = fs.readFileSync(`/proc/${node.process.pid}/status`, 'utf8');
    const [, mask] = /^SigCgt:\s+([0-9a-f]+)$/m.exec(status) ?? [];
    const bit = 1n << BigInt(os.constants.signals[signal] - 1);
    return (BigInt(`0x${mask ?? '0'}`) & bit) !== 0n;
  } catch {
    return false;
  }
}

/** Whether the script has installed all its handlers of signals; SIGIO is the last one. */
export function handlesSignals(node: child.Child): boolean {
  return catches(node, 'SIGIO');
}

/** Whether a port of loopback is open. */
export function isListening(port: number): boolean {
  const hex = port.toString(16).toUpperCase().padStart(4, '0');
  return fs
    .readFileSync('/proc/net/tcp', 'utf8')
    .split('\n')
    .some(line => {
      const [, local, , state] = line.trim().split(/\s+/);
      return state === LISTENING && local.endsWith(`:${hex}`);
    });
}

/** Number of lines with a text in the output. */
export function countPrinted(node: child.Child, text: string): number {
  return node.printed.split(text).length - 1;
}
