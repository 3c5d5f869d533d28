/** Reads and checks the settings file of a node. */
import * as fs from 'node:fs';

import * as documentChecker from '../common/documents/document_checker.js';
import * as documentFault from '../common/documents/document_fault.js';
import * as validation from '../common/documents/validation.js';
import * as errors from '../common/errors.js';
import * as generated from '../generated/settings.js';
import * as incompleteDocument from './incomplete_document.js';

/** Some editors and templates put it before a text; JSON has no place for it. */
const BYTE_ORDER_MARK = /^\ufeff/;

/** Invalid or unreadable settings; `lines` has one line for each fault. */
export class SettingsError extends errors.GeraniumloftError {
  constructor(
    path: string,
    readonly lines: readonly string[],
    /** Whether the file may become valid by itself: it cannot be read, or ends too early. */
    readonly isIncomplete = false,
  ) {
    super(`${lines.length} fault(s)`, {step: 'read settings', peer: path});
  }
}

/** Maximum length of a description of faults, so that the log's rate limit does not drop it. */
const MAX_DESCRIPTION_LENGTH = 4_000;

/** Joins fault lines to one line for the log, cut off if there are too many. */
export function describeFaults(lines: readonly string[]): string {
  const text = lines.join('; ');
  return text.length > MAX_DESCRIPTION_LENGTH
    ? `${text.slice(0, MAX_DESCRIPTION_LENGTH)}...`
    : text;
}

/** Describes an error of reading or applying settings in one line. */
export function describeError(err: unknown): string {
  if (err instanceof SettingsError) return describeFaults(err.lines);
  return err instanceof Error ? err.message : String(err);
}

/**
 * Checks the text of a settings file.
 *
 * @param fileName name used in fault lines.
 * @throws SettingsError with one line for each fault.
 */
export function parseSettings(
  text: string,
  fileName: string,
): generated.Settings {
  const check = new documentChecker.DocumentChecker<generated.Settings>(
    validation.SETTINGS,
  );
  const checked = check.checkText(text);
  switch (checked.kind) {
    case 'invalid':
      throw new SettingsError(
        fileName,
        checked.faults.map(fault => documentFault.formatFault(fileName, fault)),
        incompleteDocument.isIncomplete(text),
      );
    case 'valid':
      checkPortsDiffer(checked.value, fileName);
      return checked.value;
  }
}

/**
 * Reads and checks a settings file.
 *
 * @throws SettingsError if it cannot be read or has faults.
 */
export function readSettings(path: string): generated.Settings {
  return parseSettings(readText(path), path);
}

/**
 * Reads the text of a settings file, without a byte-order mark.
 *
 * @throws SettingsError if it cannot be read.
 */
export function readText(path: string): string {
  try {
    return fs.readFileSync(path, 'utf8').replace(BYTE_ORDER_MARK, '');
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    throw new SettingsError(path, [`${path}: ${detail}`], true);
  }
}

/** The three TCP ports listen on one address, so they must differ. */
function checkPortsDiffer(
  settings: generated.Settings,
  fileName: string,
): void {
  const {http, peer, operator} = settings.ports;
  if (new Set([http, peer, operator]).size === 3) return;
  throw new SettingsError(fileName, [
    `${fileName}: ports: expected three different port numbers`,
  ]);
}
