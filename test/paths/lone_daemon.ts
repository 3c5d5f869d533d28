/** A geraniumloftd without log service and backend server, for tests of starts and stops. */
import * as child from './child.js';

/** The compiled program, relative to the build directory. */
export const PROGRAM = 'src/node/main.js';

/** Settings of a daemon and where it listens. */
export interface LoneDaemonSettings {
  /** The settings document. */
  readonly text: string;
  readonly http: number;
  readonly operator: number;
}

/** Returns settings with ports that are free and a log service that does not exist. */
export async function settings(): Promise<LoneDaemonSettings> {
  const [http, peer, operator, port] = await child.freePorts(4);
  const text = JSON.stringify({
    nodeId: 'node-0',
    dataCentre: 'couva',
    region: 'tt-central',
    service: 'orders',
    ip: '127.0.0.1',
    ports: {http, peer, operator},
    slots: 12,
    logService: {ip: '127.0.0.1', port},
    logLevel: 'info',
  });
  return {text, http, operator};
}

/** Starts the daemon. */
export function start(settingsPath: string): child.Child {
  return child.startProgram('node-0', PROGRAM, ['--settings', settingsPath]);
}
