/** Recognises JSON documents with comments that are being written. */
import * as jsonc from 'jsonc-parser';

/**
 * Whether a document ends before its last bracket, string or comment does, is empty, or is followed
 * by the rest of a longer one over which it is being written.
 */
export function isIncomplete(text: string): boolean {
  const scanner = jsonc.createScanner(text, false);
  let depth = 0;
  let isEmpty = true;
  let isClosed = false;
  for (
    let token = scanner.scan();
    token !== jsonc.SyntaxKind.EOF;
    token = scanner.scan()
  ) {
    if (isClosed && !isTrivia(token)) return true;
    if (!isBlank(token)) isEmpty = false;
    const change = depthChange(token);
    depth += change;
    isClosed ||= change < 0 && depth === 0;
    const err = scanner.getTokenError();
    if (err === jsonc.ScanError.UnexpectedEndOfString) return true;
    if (err === jsonc.ScanError.UnexpectedEndOfComment) return true;
  }
  return isEmpty || depth > 0;
}

/** Whether a token is not part of a document; bytes without a value stand where none is written. */
function isBlank(token: jsonc.SyntaxKind): boolean {
  return token === jsonc.SyntaxKind.Unknown || isTrivia(token);
}

function isTrivia(token: jsonc.SyntaxKind): boolean {
  switch (token) {
    case jsonc.SyntaxKind.BlockCommentTrivia:
    case jsonc.SyntaxKind.LineBreakTrivia:
    case jsonc.SyntaxKind.LineCommentTrivia:
    case jsonc.SyntaxKind.Trivia:
      return true;
    default:
      return false;
  }
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
