/** Waits at a start for a settings file that is being written. */
import * as units from '../common/units.js';
import * as settings from './settings.js';

/** Longest wait for a whole settings file, in ms. */
const WAIT_MS: units.Millis = 5_000;

/** Poll interval of the file, in ms. */
const POLL_MS: units.Millis = 50;

/**
 * Reads settings once the file exists and is whole; says on standard error that it waits.
 *
 * @param onWaiting called once if it waits, with the longest wait and why.
 * @throws settings.SettingsError if the file has faults, or is not whole after 5 s.
 */
export async function readWhenWhole<T>(
  read: () => T,
  onWaiting?: (timeoutMs: units.Millis, faults: string) => void,
): Promise<T> {
  const endMs = performance.now() + WAIT_MS;
  for (let isFirst = true; ; isFirst = false) {
    try {
      return read();
    } catch (err) {
      if (!(err instanceof settings.SettingsError)) throw err;
      if (!err.isIncomplete || performance.now() >= endMs) throw err;
      if (isFirst) {
        const faults = settings.describeFaults(err.lines);
        console.error(`waiting up to ${WAIT_MS} ms: ${faults}`);
        onWaiting?.(WAIT_MS, faults);
      }
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}
