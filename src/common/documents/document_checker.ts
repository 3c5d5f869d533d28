/** Validates JSON with comments against a schema and reports faults by line, column and key. */
import * as jsonc from 'jsonc-parser';

import * as documentFault from './document_fault.js';
import * as validation from './validation.js';

/** A valid document, or its faults. */
export type CheckedDocument<T> =
  | {readonly kind: 'valid'; readonly value: T}
  | {
      readonly kind: 'invalid';
      readonly faults: readonly documentFault.DocumentFault[];
    };

/** A document without what is wrong in it, or its faults if the schema requires what is wrong. */
export type PartialDocument<T> =
  | {
      readonly kind: 'valid';
      readonly value: T;
      /** Faults of the keys that were left out or, if out of range, set to the nearest value. */
      readonly faults: readonly documentFault.DocumentFault[];
    }
  | Extract<CheckedDocument<T>, {readonly kind: 'invalid'}>;

/** Maximum length of a document, in UTF-16 code units. */
const MAX_DOCUMENT_LENGTH = 16 * 1024 * 1024;

/** Maximum nesting depth of a document. */
const MAX_DOCUMENT_DEPTH = 64;

const DUPLICATE_MESSAGE = 'key given twice';

/** Validates documents against one schema and fills in defaults. */
export class DocumentChecker<T> {
  constructor(private readonly schema: validation.Schema<T>) {}

  /** Parses and validates a text. */
  checkText(text: string): CheckedDocument<T> {
    const limitExceeded = limitFault(text);
    if (limitExceeded) return {kind: 'invalid', faults: [limitExceeded]};
    const syntaxErrors: jsonc.ParseError[] = [];
    const tree = jsonc.parseTree(text, syntaxErrors, {
      allowTrailingComma: true,
    });
    if (syntaxErrors.length > 0 || tree === undefined) {
      return {kind: 'invalid', faults: syntaxFaults(text, syntaxErrors)};
    }
    const duplicates = duplicateKeyFaults(text, tree);
    if (duplicates.length > 0) return {kind: 'invalid', faults: duplicates};
    const value: unknown = jsonc.getNodeValue(tree);
    if (this.schema.validate(value)) return {kind: 'valid', value};
    return {
      kind: 'invalid',
      faults: schemaFaults(text, tree, this.schema.errors),
    };
  }

  /**
   * Parses a text and validates it without the keys that have faults: those take their defaults,
   * and numbers out of range the nearest valid value. Invalid if the schema requires a faulty key,
   * or if the text has a fault outside of all keys.
   */
  checkTextInPart(text: string): PartialDocument<T> {
    const strict = this.checkText(text);
    if (strict.kind === 'valid') return {...strict, faults: []};
    if (limitFault(text)) return strict;
    const syntaxErrors: jsonc.ParseError[] = [];
    const tree = jsonc.parseTree(text, syntaxErrors, {
      allowTrailingComma: true,
    });
    const value: unknown = tree && jsonc.getNodeValue(tree);
    if (tree === undefined || !isTable(value)) return strict;
    const faults: documentFault.DocumentFault[] = [];
    for (const err of syntaxErrors) {
      const path = keyAt(tree, err.offset);
      if (path.length === 0) return strict;
      removeKey(value, path);
      const message = syntaxMessage(err);
      faults.push(faultAt(text, err.offset, path.join('.'), message));
    }
    for (const {node, path} of duplicateKeys(tree)) {
      removeKey(value, path);
      faults.push(
        faultAt(text, node.offset, path.join('.'), DUPLICATE_MESSAGE),
      );
    }
    while (!this.schema.validate(value)) {
      const {errors} = this.schema;
      faults.push(...schemaFaults(text, tree, errors));
      const repaired = errors.filter(err => repair(value, err));
      if (repaired.length === 0) return strict;
    }
    return {kind: 'valid', value, faults};
  }

  /** Validates a parsed value and fills in its defaults in place. Faults have line 1, column 1. */
  checkValue(value: unknown): CheckedDocument<T> {
    if (this.schema.validate(value)) return {kind: 'valid', value};
    const faults = relevantErrors(this.schema.errors).map(err => ({
      line: 1,
      column: 1,
      key: pathOf(err).join('.'),
      message: describe(err),
    }));
    return {kind: 'invalid', faults};
  }
}

function limitFault(text: string): documentFault.DocumentFault | undefined {
  if (text.length > MAX_DOCUMENT_LENGTH) {
    return faultAt(
      text,
      0,
      '',
      `longer than ${MAX_DOCUMENT_LENGTH} characters`,
    );
  }
  let depth = 0;
  const scanner = jsonc.createScanner(text, true);
  for (
    let token = scanner.scan();
    token !== jsonc.SyntaxKind.EOF;
    token = scanner.scan()
  ) {
    if (isOpening(token)) depth += 1;
    if (isClosing(token)) depth -= 1;
    if (depth > MAX_DOCUMENT_DEPTH) {
      return faultAt(
        text,
        scanner.getTokenOffset(),
        '',
        `deeper than ${MAX_DOCUMENT_DEPTH} levels`,
      );
    }
  }
  return undefined;
}

function isOpening(token: jsonc.SyntaxKind): boolean {
  return (
    token === jsonc.SyntaxKind.OpenBraceToken ||
    token === jsonc.SyntaxKind.OpenBracketToken
  );
}

function isClosing(token: jsonc.SyntaxKind): boolean {
  return (
    token === jsonc.SyntaxKind.CloseBraceToken ||
    token === jsonc.SyntaxKind.CloseBracketToken
  );
}

function faultAt(
  text: string,
  offset: number,
  key: string,
  message: string,
): documentFault.DocumentFault {
  const before = text.slice(0, offset).split('\n');
  return {
    line: before.length,
    column: before[before.length - 1].length + 1,
    key,
    message,
  };
}

function syntaxFaults(
  text: string,
  errors: readonly jsonc.ParseError[],
): readonly documentFault.DocumentFault[] {
  if (errors.length === 0) {
    return [faultAt(text, 0, '', 'expected a JSON object')];
  }
  return errors.map(err => faultAt(text, err.offset, '', syntaxMessage(err)));
}

function syntaxMessage(err: jsonc.ParseError): string {
  return `syntax error: ${jsonc.printParseErrorCode(err.error)}`;
}

/** Reports duplicate keys, since the parser would silently use the last one. */
function duplicateKeyFaults(
  text: string,
  tree: jsonc.Node,
): readonly documentFault.DocumentFault[] {
  return duplicateKeys(tree).map(({node, path}) =>
    faultAt(text, node.offset, lastOf(path), DUPLICATE_MESSAGE),
  );
}

/** A key of a document with its path. */
interface KeyNode {
  readonly node: jsonc.Node;
  readonly path: readonly string[];
}

/** Returns each key that its object has before already. */
function duplicateKeys(
  node: jsonc.Node,
  path: readonly string[] = [],
): readonly KeyNode[] {
  const duplicates: KeyNode[] = [];
  const seen = new Set<string>();
  for (const [i, child] of (node.children ?? []).entries()) {
    if (node.type !== 'object') {
      const inner = node.type === 'array' ? [...path, String(i)] : path;
      duplicates.push(...duplicateKeys(child, inner));
      continue;
    }
    const key = keyOf(child);
    const childPath = [...path, key];
    if (seen.has(key)) duplicates.push({node: child, path: childPath});
    seen.add(key);
    duplicates.push(...duplicateKeys(child, childPath));
  }
  return duplicates;
}

function keyOf(property: jsonc.Node): string {
  return String(property.children?.[0]?.value);
}

/** Returns the path of the innermost key to which an offset belongs, empty if there is none. */
function keyAt(node: jsonc.Node, offset: number): readonly string[] {
  const endOffset = node.offset + node.length;
  if (node.type !== 'object' || offset <= node.offset || offset >= endOffset) {
    return [];
  }
  const property = node.children?.findLast(child => child.offset <= offset);
  if (property === undefined) return [];
  const value = property.children?.[1];
  return [keyOf(property), ...(value ? keyAt(value, offset) : [])];
}

/** Makes a value valid where an error was found; returns whether it changed. */
function repair(
  document: Readonly<Record<string, unknown>>,
  err: validation.SchemaError,
): boolean {
  const path = pathOf(err);
  switch (err.keyword) {
    case 'minimum':
    case 'maximum':
      return replaceKey(document, path, err.params['limit']);
    default:
      return removeKey(document, path);
  }
}

function removeKey(
  document: Readonly<Record<string, unknown>>,
  path: readonly string[],
): boolean {
  const found = tableWith(document, path);
  return found !== undefined && Reflect.deleteProperty(found, lastOf(path));
}

function replaceKey(
  document: Readonly<Record<string, unknown>>,
  path: readonly string[],
  value: unknown,
): boolean {
  const found = tableWith(document, path);
  return found !== undefined && Reflect.set(found, lastOf(path), value);
}

/** Returns the innermost table of a path if it has the key at the end of it. */
function tableWith(
  document: Readonly<Record<string, unknown>>,
  path: readonly string[],
): Record<string, unknown> | undefined {
  let value: unknown = document;
  for (const [i, key] of path.entries()) {
    if (!isTable(value) || !Object.hasOwn(value, key)) return undefined;
    if (i === path.length - 1) return value;
    value = value[key];
  }
  return undefined;
}

function lastOf(path: readonly string[]): string {
  return path[path.length - 1];
}

function isTable(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function schemaFaults(
  text: string,
  tree: jsonc.Node,
  errors: readonly validation.SchemaError[],
): readonly documentFault.DocumentFault[] {
  return relevantErrors(errors).map(err => {
    const path = pathOf(err);
    const offset = nearestNode(tree, path).offset;
    return faultAt(text, offset, path.join('.'), describe(err));
  });
}

/** Removes duplicates, and `oneOf` and `const` errors if a more specific error remains. */
function relevantErrors(
  errors: readonly validation.SchemaError[],
): readonly validation.SchemaError[] {
  const specific = errors.filter(
    err => err.keyword !== 'oneOf' && err.keyword !== 'const',
  );
  const candidates = specific.length > 0 ? specific : errors;
  const seen = new Set<string>();
  return candidates.filter(err => {
    const id = `${pathOf(err).join('.')} ${describe(err)}`;
    const isNew = !seen.has(id);
    seen.add(id);
    return isNew;
  });
}

/** Returns the path of the faulty key; for an unknown key, that key and not its object. */
function pathOf(err: validation.SchemaError): readonly string[] {
  const path = err.instancePath.split('/').slice(1).map(unescapePointer);
  return err.keyword === 'additionalProperties'
    ? [...path, String(err.params['additionalProperty'])]
    : path;
}

/** Decodes a JSON Pointer segment (RFC 6901). */
function unescapePointer(segment: string): string {
  return segment.replaceAll('~1', '/').replaceAll('~0', '~');
}

/** Returns the node at the path, or at its longest existing prefix. */
function nearestNode(tree: jsonc.Node, path: readonly string[]): jsonc.Node {
  for (let length = path.length; length > 0; length--) {
    const segments = path
      .slice(0, length)
      .map(s => (/^\d+$/.test(s) ? Number(s) : s));
    const node = jsonc.findNodeAtLocation(tree, segments);
    if (node) return length === path.length ? (node.parent ?? node) : node;
  }
  return tree;
}

function describe(err: validation.SchemaError): string {
  switch (err.keyword) {
    case 'additionalProperties':
      return 'unknown key';
    case 'required':
      return `missing key ${String(err.params['missingProperty'])}`;
    case 'enum':
      return `expected one of ${(err.params['allowedValues'] as readonly unknown[]).join(', ')}`;
    case 'const':
      return `expected ${String(err.params['allowedValue'])}`;
    case 'format':
      return err.params['format'] === 'address'
        ? 'expected IPv4 address and port'
        : 'expected an IP address';
    case 'pattern':
      return `expected text matching ${String(err.params['pattern'])}`;
    default:
      return `expected: ${err.message ?? err.keyword}`;
  }
}
