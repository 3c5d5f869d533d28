/** Time at which an idempotency key was minted. */
import * as uuid from 'uuid';

import * as units from '../units.js';

const TIMED_VERSION = 7;

/** Hexadecimal digits of the time in a UUIDv7. */
const TIME_DIGITS = 12;

/** Returns the time in a UUIDv7, undefined for any other key. */
export function mintedMs(key: string): units.EpochMs | undefined {
  if (!uuid.validate(key) || uuid.version(key) !== TIMED_VERSION) {
    return undefined;
  }
  return parseInt(key.replaceAll('-', '').slice(0, TIME_DIGITS), 16);
}
