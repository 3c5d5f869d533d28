/** Settings file of a node on the users' platform. */
import * as documentChecker from '../../common/documents/document_checker.js';
import * as documentFault from '../../common/documents/document_fault.js';
import * as validation from '../../common/documents/validation.js';
import * as generated from '../../generated/node_settings.js';
import * as incompleteDocument from '../incomplete_document.js';
import * as settings from '../settings.js';

/** A settings file with which a node can run. */
export interface SettingsFile {
  readonly settings: generated.NodeSettings;
  readonly text: string;
  /** One line for each fault in what a node does not need, and for which it has another value. */
  readonly faults: readonly string[];
}

/**
 * Reads and validates the settings file.
 *
 * @throws settings.SettingsError with one line for each fault if a required field has one.
 */
export function readNodeSettings(path: string): SettingsFile {
  return parseNodeSettings(path, settings.readText(path));
}

/**
 * Validates the text of the settings file at `path`.
 *
 * @throws settings.SettingsError with one line for each fault if a required field has one.
 */
export function parseNodeSettings(path: string, text: string): SettingsFile {
  const check = new documentChecker.DocumentChecker<generated.NodeSettings>(
    validation.NODE_SETTINGS,
  );
  const checked = check.checkTextInPart(text);
  const faults = checked.faults.map(fault =>
    documentFault.formatFault(path, fault),
  );
  const isIncomplete =
    faults.length > 0 && incompleteDocument.isIncomplete(text);
  if (checked.kind === 'invalid' || isIncomplete) {
    throw new settings.SettingsError(path, faults, isIncomplete);
  }
  return {settings: checked.value, text, faults};
}
