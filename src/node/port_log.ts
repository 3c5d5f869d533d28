/** Logs and counts what happens to the ports of `geraniumloftd`. */
import * as counters from '../common/counters.js';
import * as logger from './logger.js';
import * as portOpening from './port_opening.js';

/** Where the ports report. */
export interface PortReports {
  readonly count: counters.Counters;
  readonly log: logger.Logger;
}

/** Returns an observer that reports on a port by its name. */
export function portLog(
  name: string,
  {count, log}: PortReports,
): portOpening.PortObserver {
  const describe = ({ip, port}: portOpening.PortAddress): string =>
    `port for ${name} (${ip}:${port})`;
  return {
    onWaiting: (at, code) =>
      log.warn(`listen-waiting: ${describe(at)}: ${code}`),
    onOpened: (at, waitedMs) =>
      log.info(`listen-open: ${describe(at)} after ${waitedMs} ms`),
    onError: (at, code) => {
      count.increment('port.error');
      log.debug(`listen-error: ${describe(at)}: ${code}`);
    },
  };
}
