/** Command line arguments and exit statuses shared by the daemons. */
import * as util from 'node:util';

import * as settings from './settings.js';

/** Exit status for invalid arguments or settings. */
export const USAGE_STATUS = 2;

/** Exit status after a failure to start. */
const FAILED_STATUS = 1;

/** Arguments of a daemon. */
export interface Arguments {
  /** Path of the settings file. */
  readonly settings: string;
  /** Whether to check the settings and exit. */
  readonly check: boolean;
}

/**
 * Parses the arguments of a daemon; returns undefined if they are invalid.
 *
 * @param defaultSettings path of the settings file if the arguments name none.
 */
export function parseArguments(
  args: readonly string[],
  defaultSettings?: string,
): Arguments | undefined {
  try {
    const {values} = util.parseArgs({
      args: [...args],
      options: {
        settings: {type: 'string', default: defaultSettings},
        check: {type: 'boolean', default: false},
      },
    });
    const {settings: path, check} = values;
    return path === undefined ? undefined : {settings: path, check};
  } catch {
    return undefined;
  }
}

/** Reports an error that ended the program; returns its exit status. */
export function reportFailure(err: unknown): number {
  if (err instanceof settings.SettingsError) {
    for (const line of err.lines) console.error(line);
    return USAGE_STATUS;
  }
  console.error(err instanceof Error ? err.message : String(err));
  return FAILED_STATUS;
}
