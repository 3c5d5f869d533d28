import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as documents from '../stand_ins/platform/documents.js';
import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const BYTES_PER_MB = 1024 * 1024;

const MEMORY_MB = 200;

/** Arguments with which the platform starts the daemon. */
const NODE_ARGS = ['--max-old-space-size=160'];

const DEADLINE_MS = 6_000;

/** Longer than the deadline, so that every upload that runs is held for all its time. */
const SLOW_WORK_MS = 9_000;

/** Descriptors for the sockets of an upload: its caller's and the backend server's. */
const DESCRIPTORS_PER_UPLOAD = 2;

/** Descriptors for health checks, links, the store and others. */
const OTHER_DESCRIPTORS = 30;

interface Crowd {
  readonly title: string;
  readonly uploads: number;
  readonly bodyBytes: number;
  readonly chunked: boolean;
}

const CROWDS: readonly Crowd[] = [
  {
    title: '40 uploads of 4 MiB',
    uploads: 40,
    bodyBytes: 4 * BYTES_PER_MB,
    chunked: false,
  },
  {
    title: '40 uploads of 4 MiB without a length',
    uploads: 40,
    bodyBytes: 4 * BYTES_PER_MB,
    chunked: true,
  },
];

/** Starts a node whose backend server takes longer than callers wait, except for `/history`. */
async function startFleet(): Promise<platformFleet.PlatformFleet> {
  const fleet = await platformFleet.PlatformFleet.start(1, {
    nodeArgs: NODE_ARGS,
    settings: {memoryMb: MEMORY_MB},
    configuration: {
      routes: [
        documents.addedRoute('scans', {
          route_kind: 'unsafe',
          timeout_s: DEADLINE_MS / 1_000,
          target_latency_s: 4,
        }),
        documents.addedRoute('history'),
      ],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 64 * BYTES_PER_MB,
        header_timeout_s: 3,
        idle_timeout_s: 15,
      },
    },
  });
  const [{server}] = fleet.nodes;
  server.mode = {
    kind: 'varied',
    workOf: ({target}) => ({
      workMs: target.startsWith('/scans') ? SLOW_WORK_MS : 0,
      paddingBytes: 0,
    }),
  };
  return fleet;
}

for (const {title, uploads, bodyBytes, chunked} of CROWDS) {
  test(`a node keeps within its memory while a slow server gets ${title}`, async () => {
    await using fleet = await startFleet();
    const [node] = fleet.nodes;
    const idleDescriptors = node.process.descriptors;
    const body = 'x'.repeat(bodyBytes);
    const headers: Readonly<Record<string, string>> = chunked
      ? {'Transfer-Encoding': 'chunked'}
      : {};
    let mostDescriptors = 0;
    const watch = setInterval(() => {
      if (!node.process.isRunning) return;
      mostDescriptors = Math.max(mostDescriptors, node.process.descriptors);
    }, 100);
    await Promise.allSettled(
      Array.from({length: uploads}, (unused, i) =>
        fleet.send(node, {
          id: `u${i}`,
          path: `/scans/${i}`,
          method: 'POST',
          body,
          headers,
          deadlineMs: DEADLINE_MS,
        }),
      ),
    );
    clearInterval(watch);
    assert.ok(node.process.isRunning, node.process.printed.slice(-2_000));
    const {peakBytes} = node.process;
    assert.ok(
      peakBytes < MEMORY_MB * BYTES_PER_MB,
      `peak of ${Math.round(peakBytes / BYTES_PER_MB)} MB`,
    );
    const maxDescriptors =
      idleDescriptors + DESCRIPTORS_PER_UPLOAD * uploads + OTHER_DESCRIPTORS;
    assert.ok(mostDescriptors < maxDescriptors, `${mostDescriptors} open`);
    await child.waitUntil(
      async () => (await fleet.send(node, {id: 'later'})).status === 200,
      DEADLINE_MS,
      () => 'an ordinary request to be answered with 200',
    );
  });
}
