/** Settings file of a node on the users' platform. */
import * as fs from 'node:fs';

import * as documentChecker from '../../common/documents/document_checker.js';
import * as documentFault from '../../common/documents/document_fault.js';
import * as validation from '../../common/documents/validation.js';
import * as generated from '../../generated/node_settings.js';
import * as incompleteDocument from '../incomplete_document.js';
import * as settings from '../settings.js';

/**
 * Reads and validates the settings file.
 *
 * @throws settings.SettingsError with one line for each fault.
 */
export function readNodeSettings(path: string): generated.NodeSettings {
  const text = settings.readText(path);
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

/** Returns the modification time of the file in epoch ms, undefined if there is no file. */
export function changedMs(path: string): number | undefined {
  return fs.statSync(path, {throwIfNoEntry: false})?.mtimeMs;
}
