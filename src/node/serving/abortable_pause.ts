/** Waits that a stop ends early. */
import * as timers from 'node:timers/promises';

import * as units from '../../common/units.js';

/** Resolves after a time, or at once when the signal is raised. */
export async function pause(
  ms: units.Millis,
  signal: AbortSignal,
): Promise<void> {
  try {
    await timers.setTimeout(ms, undefined, {signal});
  } catch {
    // Stopped while waiting.
  }
}
