/** Delays that an abort signal ends early. */
import * as timers from 'node:timers/promises';

import * as units from '../common/units.js';

/** Resolves after `ms`, or at once when the signal is aborted; never rejects. */
export async function pause(
  ms: units.Millis,
  signal: AbortSignal,
): Promise<void> {
  try {
    await timers.setTimeout(ms, undefined, {signal});
  } catch {
    // Aborted while waiting.
  }
}
