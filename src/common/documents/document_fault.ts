/** Faults in JSON documents with comments. */

/** A fault in a document. Line and column are 1-based. */
export interface DocumentFault {
  readonly line: number;
  readonly column: number;
  /** Dot-separated path of the key, empty for the whole document. */
  readonly key: string;
  /** What is wrong and what is expected. */
  readonly message: string;
}

/** Formats a fault as `file:line:column: key: message`. */
export function formatFault(fileName: string, fault: DocumentFault): string {
  const key = fault.key === '' ? '' : `${fault.key}: `;
  return `${fileName}:${fault.line}:${fault.column}: ${key}${fault.message}`;
}
