/** Checks that a process serves beside a crowd of clients outside the limits. */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';

import * as bundle from './bundle.js';
import * as child from './child.js';
import * as clientCrowd from './client_crowd.js';
import * as documents from '../stand_ins/platform/documents.js';
import * as fleet from './fleet.js';
import * as platformFleet from './platform_fleet.js';

/** Memory that each process may use, in MB. */
export const MEMORY_MB = 200;

const BYTES_PER_MB = 1024 * 1024;

/** Time within which a process closes the connections of a crowd. */
const CLOSE_TIMEOUT_MS = 30_000;

/** Time within which an ordinary request is answered. */
const REQUEST_TIMEOUT_MS = 20_000;

/** Descriptors that a process may need beside those that it had before and the crowd's. */
const OTHER_DESCRIPTORS = 40;

/** State of a listening socket in /proc/net/tcp. */
const LISTENING = '0A';

const SAMPLE_INTERVAL_MS = 20;

const TRICKLE_INTERVAL_MS = 20;

/** A process and how its ordinary callers reach it. */
export interface CrowdTarget {
  readonly process: child.Child;
  /** Sends an ordinary request on a new connection; returns the status. */
  request(): Promise<number>;
}

/** A crowd, and the port that it connects to. */
export interface CrowdOptions {
  readonly address: string;
  readonly clients: number;
  readonly act: clientCrowd.ClientAction;
  /** Most connections that ordinary clients of the port may keep open, none by default. */
  readonly otherConnections?: number;
  /** Most descriptors of the process; by default the crowd may keep all its connections. */
  readonly maxDescriptors?: number;
}

/** Largest number of descriptors of a process while it is watched. */
class DescriptorWatch implements Disposable {
  private readonly timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
  max = 0;

  constructor(private readonly process: child.Child) {}

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private sample(): void {
    const {process} = this;
    if (process.isRunning) this.max = Math.max(this.max, process.descriptors);
  }
}

/** Number of connections to a port that its process has accepted and not closed. */
function openConnections(address: string): number {
  const [, port] = address.split(':');
  const hexPort = Number(port).toString(16).toUpperCase().padStart(4, '0');
  const [, ...lines] = fs.readFileSync('/proc/net/tcp', 'utf8').split('\n');
  return lines.filter(line => {
    const fields = line.trim().split(/\s+/);
    const [, local = '', , state, , , , , , inode] = fields;
    // A connection that waits to be accepted, or that its process has closed, has no inode.
    return (
      local.endsWith(`:${hexPort}`) && state !== LISTENING && inode !== '0'
    );
  }).length;
}

/** Starts three nodes on the platform with low limits and timeouts for callers. */
export function startPlatformFleet(
  options: platformFleet.PlatformFleetOptions = {},
): Promise<platformFleet.PlatformFleet> {
  // The time for a request must not depend on the processor time that a crowd takes.
  const patient = {timeout_s: 20, target_latency_s: 10};
  return platformFleet.PlatformFleet.start(3, {
    nodeArgs: bundle.NODE_ARGS,
    settings: {memoryMb: MEMORY_MB},
    configuration: {
      routes: [documents.addedRoute('history', patient)],
      limits: {
        max_header_bytes: 8_192,
        max_body_bytes: 100_000,
        header_timeout_s: 1,
        idle_timeout_s: 2,
      },
    },
    ...options,
  });
}

/** Returns a node of the platform as the target of a crowd. */
export function platformTarget(
  all: platformFleet.PlatformFleet,
  node: platformFleet.FleetNode,
): CrowdTarget {
  let last = 0;
  const request = async (): Promise<number> => {
    const id = `ordinary-${++last}`;
    const deadlineMs = REQUEST_TIMEOUT_MS;
    return (await all.send(node, {id, deadlineMs})).status;
  };
  return {process: node.process, request};
}

/** Three nodes that run `geraniumloftd`. */
export interface DaemonFleet extends AsyncDisposable {
  readonly pairs: readonly fleet.Pair[];
}

/** Starts three nodes that run `geraniumloftd`. */
export async function startDaemonFleet(
  options: Partial<fleet.PairOptions> = {},
): Promise<DaemonFleet> {
  const all = await fleet.Fleet.start(fleet.testConfiguration());
  const dispose = () => all[Symbol.asyncDispose]();
  try {
    const ids = ['orders-1', 'orders-2', 'orders-3'];
    const pairs = await Promise.all(
      ids.map(nodeId => all.addPair({...options, nodeId})),
    );
    await all.waitUntilReady(pairs);
    return {pairs, [Symbol.asyncDispose]: dispose};
  } catch (err) {
    await dispose();
    throw err;
  }
}

/** Returns a node that runs `geraniumloftd` as the target of a crowd. */
export function daemonTarget({node, httpPort}: fleet.Pair): CrowdTarget {
  const request = async (): Promise<number> =>
    (await fleet.call(httpPort, {path: '/orders/1'})).status;
  return {process: node, request};
}

/**
 * Lets a crowd act, and checks that an ordinary request is answered meanwhile and afterwards, that
 * the process closes the crowd's connections and lives, and that it stays within its memory and
 * descriptors.
 */
export async function checkServesBeside(
  {process, request}: CrowdTarget,
  options: CrowdOptions,
): Promise<void> {
  const {address, clients, act, otherConnections = 0} = options;
  const beyondMax = process.descriptors + OTHER_DESCRIPTORS;
  const {maxDescriptors = beyondMax + clients} = options;
  using watch = new DescriptorWatch(process);
  using crowd = new clientCrowd.ClientCrowd(address);
  await crowd.add(clients, act);
  const statusBeside = await statusOf(request);
  assert.ok(process.isRunning, process.printed.slice(-2_000));
  assert.equal(statusBeside, 200, 'beside the crowd');
  await child.waitUntil(
    () => openConnections(address) <= otherConnections,
    CLOSE_TIMEOUT_MS,
    () => `${openConnections(address)} connections to close`,
  );
  const status = await statusOf(request);
  assert.ok(process.isRunning, process.printed.slice(-2_000));
  assert.equal(status, 200, 'afterwards');
  const {peakBytes} = process;
  assert.ok(peakBytes < MEMORY_MB * BYTES_PER_MB, `peak of ${peakBytes} bytes`);
  assert.ok(watch.max < maxDescriptors, `${watch.max} descriptors`);
}

/** Returns the status of the answer to a request, or why there is none. */
export async function statusOf(
  request: () => Promise<number>,
): Promise<number | string> {
  try {
    return await child.withTimeout(request(), REQUEST_TIMEOUT_MS, 'an answer');
  } catch (err) {
    return String(err);
  }
}

/** Returns an action that writes `start`, then `piece` without end. */
export function endless(
  start: string,
  piece: string,
): clientCrowd.ClientAction {
  const bytes = Buffer.from(piece);
  return socket => {
    socket.write(start);
    clientCrowd.writeWithoutEnd(socket, bytes);
  };
}

/** Returns an action that writes `start`, then one byte of `text` every 20 ms, without end. */
export function trickling(
  start: string,
  text: string,
): clientCrowd.ClientAction {
  return socket => {
    socket.write(start);
    let i = 0;
    const timer = setInterval(
      () => socket.write(text.charAt(i++ % text.length)),
      TRICKLE_INTERVAL_MS,
    );
    socket.once('close', () => clearInterval(timer));
  };
}

/** Returns an action that writes `text` once. */
export function once(text: string): clientCrowd.ClientAction {
  return socket => void socket.write(text);
}
