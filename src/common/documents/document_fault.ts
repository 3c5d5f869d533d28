/** A fault in a JSON document with comments. */

/** One fault; line and column count from 1. */
export interface DocumentFault {
  readonly line: number;
  readonly column: number;
  /** Dotted path of the key, empty for the whole document. */
  readonly key: string;
  /** What is wrong and what is expected. */
  readonly message: string;
}

/** Formats a fault as `file:line:column: key: message`. */
export function formatFault(fileName: string, fault: DocumentFault): string {
  const key = fault.key === '' ? '' : `${fault.key}: `;
  return `${fileName}:${fault.line}:${fault.column}: ${key}${fault.message}`;
}
