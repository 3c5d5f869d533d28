/** Recognises JSON documents with comments that are being written. */
import * as jsonc from 'jsonc-parser';

/** Whether a document ends before its last bracket, string or comment does, or is empty. */
export function isIncomplete(text: string): boolean {
  const scanner = jsonc.createScanner(text, true);
  let depth = 0;
  let isEmpty = true;
  for (
    let token = scanner.scan();
    token !== jsonc.SyntaxKind.EOF;
    token = scanner.scan()
  ) {
    if (token !== jsonc.SyntaxKind.Unknown) isEmpty = false;
    depth += depthChange(token);
    const err = scanner.getTokenError();
    if (err === jsonc.ScanError.UnexpectedEndOfString) return true;
  }
  return isEmpty || depth > 0;
}

function depthChange(token: jsonc.SyntaxKind): number {
  switch (token) {
    case jsonc.SyntaxKind.OpenBraceToken:
    case jsonc.SyntaxKind.OpenBracketToken:
      return 1;
    case jsonc.SyntaxKind.CloseBraceToken:
    case jsonc.SyntaxKind.CloseBracketToken:
      return -1;
    default:
      return 0;
  }
}
