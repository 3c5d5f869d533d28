/** Settings file of a node on the users' platform. */
import * as documentChecker from '../../common/documents/document_checker.js';
import * as documentFault from '../../common/documents/document_fault.js';
import * as validation from '../../common/documents/validation.js';
import * as generated from '../../generated/node_settings.js';
import * as incompleteDocument from '../incomplete_document.js';
import * as settings from '../settings.js';

/** A valid settings file. */
export interface SettingsFile {
  readonly settings: generated.NodeSettings;
  readonly text: string;
}

/**
 * Reads and validates the settings file.
 *
 * @throws settings.SettingsError with one line for each fault.
 */
export function readNodeSettings(path: string): SettingsFile {
  const text = settings.readText(path);
  return {settings: parseNodeSettings(path, text), text};
}

/**
 * Validates the text of the settings file at `path`.
 *
 * @throws settings.SettingsError with one line for each fault.
 */
export function parseNodeSettings(
  path: string,
  text: string,
): generated.NodeSettings {
  const check = new documentChecker.DocumentChecker<generated.NodeSettings>(
    validation.NODE_SETTINGS,
  );
  const checked = check.checkText(text);
  switch (checked.kind) {
    case 'invalid':
      throw new settings.SettingsError(
        path,
        checked.faults.map(fault => documentFault.formatFault(path, fault)),
        incompleteDocument.isIncomplete(text),
      );
    case 'valid':
      return checked.value;
  }
}
