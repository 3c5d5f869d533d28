/** Crowds that do not read their answers, and checks of the process that they are connected to. */
import * as assert from 'node:assert/strict';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';

import * as documents from '../stand_ins/platform/documents.js';
import * as bundle from './bundle.js';
import * as child from './child.js';
import * as clientCrowd from './client_crowd.js';
import * as platformFleet from './platform_fleet.js';

/** Memory that a process may use, as in the settings of the tests. */
export const MEMORY_MB = 250;

export const MIB = 1024 * 1024;

/** Most descriptors of a process: those of a small fleet, and the connections of the crowd. */
const MAX_DESCRIPTORS = 200;

/** Requests in a piece of those that a client sends without end. */
const PIECE_REQUESTS = 64;

/** Time limit of requests and routes, longer than a large answer takes. */
const TIMEOUT_S = 20;

/** Time for which clients send without end, unless the process ends before. */
const ENDLESS_MS = 10_000;

/** Time in which the first bytes of an answer arrive, or the connection is closed. */
const FIRST_BYTES_MS = 30_000;

/** Bytes that a slow reader takes each second. */
const SLOW_BYTES = 2_500;
const SLOW_INTERVAL_MS = 1_000;

/** Three nodes with the memory of the tests, whose routes leave time for large answers. */
export function startFleet(): Promise<platformFleet.PlatformFleet> {
  const limits = {timeout_s: TIMEOUT_S, target_latency_s: TIMEOUT_S - 1};
  return platformFleet.PlatformFleet.start(3, {
    nodeArgs: bundle.NODE_ARGS,
    settings: {memoryMb: MEMORY_MB},
    configuration: {routes: [documents.addedRoute('history', limits)]},
  });
}

/** Returns requests to `path` behind one another. */
export function requestsBehindOneAnother(count: number, path: string): string {
  return Array.from(
    {length: count},
    (unused, i) =>
      `GET ${path} HTTP/1.1\r\nHost: ${documents.HOST}\r\n` +
      `Request-Id: u${i}\r\nDeadline-Ms: ${TIMEOUT_S * 1_000}\r\n\r\n`,
  ).join('');
}

/** Connects clients that send requests behind one another without end, and lets them do so. */
export async function sendWithoutEnd(
  crowd: clientCrowd.ClientCrowd,
  process: child.Child,
  clients: number,
  path: string,
): Promise<void> {
  const piece = Buffer.from(requestsBehindOneAnother(PIECE_REQUESTS, path));
  await crowd.add(clients, socket =>
    clientCrowd.writeWithoutEnd(socket, piece),
  );
  const endMs = performance.now() + ENDLESS_MS;
  while (process.isRunning && performance.now() < endMs) {
    await timers.setTimeout(100);
  }
}

/**
 * Connects clients one after another, each of which sends requests and leaves the answers unread.
 * The next one connects when the first bytes of an answer have come, or the connection was closed.
 */
export async function leaveUnread(
  crowd: clientCrowd.ClientCrowd,
  clients: number,
  requests: string,
  read: clientCrowd.ClientAction = () => undefined,
): Promise<void> {
  for (let i = 0; i < clients; i++) {
    let isDone = false;
    await crowd.add(1, socket => {
      socket.once('readable', () => (isDone = true));
      socket.once('close', () => (isDone = true));
      read(socket);
      socket.write(requests);
    });
    await child.waitUntil(
      () => isDone || crowd.open === 0,
      FIRST_BYTES_MS,
      () => `the first bytes of the answer to client ${i}`,
    );
  }
}

/** Takes few bytes of an answer at a time. */
export function readSlowly(socket: net.Socket): void {
  const timer = setInterval(() => socket.read(SLOW_BYTES), SLOW_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
}

/** @throws AssertionError if the process has ended, or has passed its memory or descriptors. */
export function checkProcess(process: child.Child): void {
  assert.ok(process.isRunning, process.printed.slice(-2_000));
  const peakMb = process.peakBytes / MIB;
  assert.ok(peakMb < MEMORY_MB, `${Math.round(peakMb)} MB`);
  assert.ok(process.descriptors < MAX_DESCRIPTORS);
}

/** Checks that a node serves an ordinary request, and has kept within its bounds. */
export async function checkNode(
  fleet: platformFleet.PlatformFleet,
  node: platformFleet.FleetNode,
): Promise<void> {
  assert.ok(node.process.isRunning, node.process.printed.slice(-2_000));
  for (const {server} of fleet.nodes) server.mode = {kind: 'ok', workMs: 1};
  const {status} = await fleet.send(node, {
    id: 'ordinary',
    deadlineMs: TIMEOUT_S * 1_000,
  });
  assert.equal(status, 200, node.process.printed.slice(-2_000));
  for (const {process} of fleet.nodes) checkProcess(process);
}
