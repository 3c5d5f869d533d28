/** Opens ports that may be taken for a while, or whose address is not on the machine yet. */
import * as errors from '../common/errors.js';
import * as units from '../common/units.js';
import * as abortablePause from './abortable_pause.js';

/** Time after which opening a port is given up, so that the process is started anew. */
export const OPEN_TIMEOUT_MS: units.Millis = 30_000;

/** Interval of attempts to open a port. */
const RETRY_INTERVAL_MS: units.Millis = 100;

/** Errors of the system that pass by themselves. */
const PASSING_CODES: ReadonlySet<string> = new Set([
  // An outgoing connection or a process that is about to end holds the port.
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EAGAIN',
  'EMFILE',
  'ENETDOWN',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/** Address to listen on; port 0 chooses a free one. */
export interface PortAddress {
  readonly ip: string;
  readonly port: number;
}

/** Receives what happens to a listening socket besides its connections. */
export interface PortObserver {
  /** The port cannot be opened now and is tried again; called once. */
  onWaiting(address: PortAddress, code: string): void;
  /** The port was opened after `onWaiting`. */
  onOpened(address: PortAddress, waitedMs: units.Millis): void;
  /** The open port reported an error, as for a connection not accepted; it stays open. */
  onError(address: PortAddress, code: string): void;
}

/** How a port is opened, and who is told about it. */
export interface PortOptions extends PortAddress {
  /** Name in errors. */
  readonly portName?: string;
  readonly observer?: PortObserver;
  /** Time after which opening is given up; infinity to try again after any error. */
  readonly openTimeoutMs?: units.Millis;
}

/** Code of an error of the system, or its message if it has none. */
export function codeOf(err: unknown): string {
  const {code, message} = err as NodeJS.ErrnoException;
  return code ?? message ?? String(err);
}

/**
 * Opens a port; resolves once `tryOpen` has succeeded.
 *
 * @param tryOpen makes one attempt; rejects with the error of the system.
 * @param closed aborted when the socket is closed, which ends the wait.
 * @throws errors.GeraniumloftError that names the port if it cannot be opened or was closed.
 */
export async function openPort(
  options: PortOptions,
  tryOpen: () => Promise<void>,
  closed: AbortSignal,
): Promise<void> {
  const {ip, port, observer, openTimeoutMs = OPEN_TIMEOUT_MS} = options;
  const address = {ip, port};
  const startMs = performance.now();
  let isWaiting = false;
  for (;;) {
    const failure = await failureOf(tryOpen);
    const elapsedMs = performance.now() - startMs;
    if (closed.aborted) throw openingError(options, 'closed', undefined);
    if (failure === undefined) {
      if (isWaiting) observer?.onOpened(address, Math.round(elapsedMs));
      return;
    }
    const {err} = failure;
    const code = codeOf(err);
    const mayPass = PASSING_CODES.has(code) || openTimeoutMs === Infinity;
    if (!mayPass || elapsedMs >= openTimeoutMs) {
      const message = err instanceof Error ? err.message : code;
      throw openingError(options, message, err);
    }
    if (!isWaiting) observer?.onWaiting(address, code);
    isWaiting = true;
    await abortablePause.pause(RETRY_INTERVAL_MS, closed);
  }
}

async function failureOf(
  tryOpen: () => Promise<void>,
): Promise<{readonly err: unknown} | undefined> {
  try {
    await tryOpen();
    return undefined;
  } catch (err) {
    return {err};
  }
}

function openingError(
  {ip, port, portName}: PortOptions,
  message: string,
  cause: unknown,
): errors.GeraniumloftError {
  const step = portName === undefined ? 'listen' : `listen for ${portName}`;
  const site = {step, peer: `${ip}:${port}`};
  return new errors.GeraniumloftError(message, site, {cause});
}
