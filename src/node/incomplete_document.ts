/** Recognises JSON documents with comments that are being written. */
import * as jsonc from 'jsonc-parser';

/** Whether a document ends before its last bracket, string or comment does, or is empty. */
export function isIncomplete(text: string): boolean {
  const scanner = jsonc.createScanner(text, false);
  let depth = 0;
  let isEmpty = true;
  for (
    let token = scanner.scan();
    token !== jsonc.SyntaxKind.EOF;
    token = scanner.scan()
  ) {
    if (!isBlank(token)) isEmpty = false;
    depth += depthChange(token);
    const err = scanner.getTokenError();
    if (err === jsonc.ScanError.UnexpectedEndOfString) return true;
    if (err === jsonc.ScanError.UnexpectedEndOfComment) return true;
  }
  return isEmpty || depth > 0;
}

function isBlank(token: jsonc.SyntaxKind): boolean {
  switch (token) {
    case jsonc.SyntaxKind.BlockCommentTrivia:
    case jsonc.SyntaxKind.LineBreakTrivia:
    case jsonc.SyntaxKind.LineCommentTrivia:
    case jsonc.SyntaxKind.Trivia:
    case jsonc.SyntaxKind.Unknown:
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
