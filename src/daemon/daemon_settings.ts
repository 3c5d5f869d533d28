/** Settings of the daemon, with the bounds that the platform states read by name. */
import * as bounds from '../../platform/bounds.js';
import * as nodeSettings from '../node/serving/node_settings.js';
import * as settings from '../node/settings.js';

/**
 * Reads and validates the settings file.
 *
 * @throws settings.SettingsError with one line for each fault if a required field has one.
 */
export function readSettings(path: string): nodeSettings.SettingsFile {
  return parseSettings(path, settings.readText(path));
}

/**
 * Validates the text of the settings file at `path`; `bounds` of the result is a table.
 *
 * @throws settings.SettingsError with one line for each fault if a required field has one.
 */
export function parseSettings(
  path: string,
  text: string,
): nodeSettings.SettingsFile {
  const file = nodeSettings.parseNodeSettings(path, text);
  const {values, faults} = bounds.readBounds(file.settings.bounds);
  const lines = faults.map(
    ({name, message}) => `${path}: bounds.${name}: ${message}`,
  );
  return {
    ...file,
    settings: {...file.settings, bounds: Object.fromEntries(values)},
    faults: [...file.faults, ...lines],
  };
}
