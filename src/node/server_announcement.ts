/** Announcement that a backend server sends to the node beside it. */
import * as net from 'node:net';

/** Path of announcements on the node's HTTP port. */
export const ANNOUNCEMENT_PATH = '/.geraniumloft/backend-server';

/** State, address and capacity of a backend server. */
export interface ServerAnnouncement {
  readonly state: 'starting' | 'ready' | 'leaving';
  readonly ip: string;
  readonly port: number;
  /** Requests that the backend server can run at the same time. */
  readonly slots: number;
  /** Distinguishes one process of the backend server from the next. */
  readonly processId?: string;
}

const MAX_PORT = 65_535;
const MAX_SLOTS = 10_000;
const MAX_PROCESS_ID_LENGTH = 128;

/** Parses the body of an announcement; returns undefined if it is malformed. */
export function parseAnnouncement(
  body: Buffer,
): ServerAnnouncement | undefined {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
  return isAnnouncement(value) ? value : undefined;
}

function isAnnouncement(value: unknown): value is ServerAnnouncement {
  if (typeof value !== 'object' || value === null) return false;
  const {state, ip, port, slots, processId} =
    value as Partial<ServerAnnouncement>;
  return (
    (state === 'starting' || state === 'ready' || state === 'leaving') &&
    typeof ip === 'string' &&
    net.isIP(ip) !== 0 &&
    isIntegerUpTo(port, MAX_PORT) &&
    isIntegerUpTo(slots, MAX_SLOTS) &&
    (processId === undefined ||
      (typeof processId === 'string' &&
        processId.length <= MAX_PROCESS_ID_LENGTH))
  );
}

function isIntegerUpTo(value: unknown, max: number): boolean {
  return Number.isInteger(value) && Number(value) >= 1 && Number(value) <= max;
}
