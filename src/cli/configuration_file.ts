/** Reads and validates a configuration file. */
import * as fs from 'node:fs';

import * as operation from '../common/configuration/operation.js';
import * as documentChecker from '../common/documents/document_checker.js';
import * as documentFault from '../common/documents/document_fault.js';
import * as validation from '../common/documents/validation.js';
import * as generated from '../generated/configuration.js';
import * as cliErrors from './cli_errors.js';

/**
 * Reads and validates a configuration file (JSON with comments).
 *
 * @throws cliErrors.CommandError if the file cannot be read or is invalid, with one line per fault.
 */
export function readConfiguration(path: string): generated.Configuration {
  const checker = new documentChecker.DocumentChecker<generated.Configuration>(
    validation.CONFIGURATION,
  );
  const checked = checker.checkText(readText(path));
  if (checked.kind === 'invalid') {
    throw cliErrors.invalid(
      ...checked.faults.map(f => documentFault.formatFault(path, f)),
    );
  }
  const parsed = operation.checkConfiguration(checked.value);
  if (parsed.kind === 'ok') return parsed.value;
  throw cliErrors.invalid(...parsed.faults.map(f => `${path}: ${f}`));
}

function readText(path: string): string {
  try {
    return fs.readFileSync(path, 'utf8');
  } catch (err) {
    throw cliErrors.invalid(
      `${path}: ${err instanceof Error ? err.message : String(err)}`,
    );
  }
}
