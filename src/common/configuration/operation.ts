/** Configuration operations, carried by changes in the log. */
import * as generated from '../../generated/configuration.js';
import * as validation from '../documents/validation.js';
import * as invariants from '../invariants.js';

/** An operation on the configuration. */
export type Operation =
  | {
      readonly kind: 'replace';
      readonly configuration: generated.Configuration;
    }
  | {readonly kind: 'add-exception'; readonly exception: generated.Exception}
  | {readonly kind: 'remove-exception'; readonly id: string};

/** A value, or the faults found while parsing or applying it. */
export type Result<T> =
  | {readonly kind: 'ok'; readonly value: T}
  | {readonly kind: 'invalid'; readonly faults: readonly string[]};

function isOperation(value: unknown): value is Operation {
  return validation.OPERATION.validate(value);
}

function faultsOf(
  errors: readonly validation.SchemaError[],
): readonly string[] {
  return errors.map(e => `${e.instancePath || '/'} ${e.message ?? ''}`);
}

function invalid(...faults: readonly string[]): {
  readonly kind: 'invalid';
  readonly faults: readonly string[];
} {
  return {kind: 'invalid', faults};
}

function parseJson(text: string): Result<unknown> {
  try {
    return {kind: 'ok', value: JSON.parse(text)};
  } catch {
    return invalid('/ is not JSON');
  }
}

/** Validates a configuration; returns a copy with defaults filled in. */
export function checkConfiguration(
  value: unknown,
): Result<generated.Configuration> {
  const copy: unknown = cloneJson(value);
  if (!validation.CONFIGURATION.validate(copy)) {
    return invalid(...faultsOf(validation.CONFIGURATION.errors));
  }
  const faults = semanticFaults(copy);
  return faults.length > 0 ? invalid(...faults) : {kind: 'ok', value: copy};
}

/** Parses and validates the JSON text of a configuration. */
export function parseConfiguration(
  text: string,
): Result<generated.Configuration> {
  const json = parseJson(text);
  return json.kind === 'ok' ? checkConfiguration(json.value) : json;
}

/** Parses and validates the JSON text of an operation, including a replacement configuration. */
export function parseOperation(text: string): Result<Operation> {
  const json = parseJson(text);
  if (json.kind === 'invalid') return json;
  const value = json.value;
  if (!isOperation(value)) {
    return invalid(...faultsOf(validation.OPERATION.errors));
  }
  if (value.kind !== 'replace') return {kind: 'ok', value};
  const configuration = checkConfiguration(value.configuration);
  if (configuration.kind === 'invalid') return configuration;
  return {
    kind: 'ok',
    value: {kind: 'replace', configuration: configuration.value},
  };
}

/** Applies an operation to `document`, which is undefined before the first configuration. */
export function applyOperation(
  document: generated.Configuration | undefined,
  operation: Operation,
): Result<generated.Configuration> {
  if (operation.kind === 'replace') {
    return {kind: 'ok', value: operation.configuration};
  }
  if (document === undefined) return invalid('no configuration is in force');
  switch (operation.kind) {
    case 'add-exception':
      return checkConfiguration({
        ...document,
        exceptions: [...document.exceptions, operation.exception],
      });
    case 'remove-exception':
      return removeException(document, operation.id);
    default:
      return invariants.assertNever(operation);
  }
}

function removeException(
  document: generated.Configuration,
  id: string,
): Result<generated.Configuration> {
  const exceptions = document.exceptions.filter(e => e.id !== id);
  if (exceptions.length === document.exceptions.length) {
    return invalid(`/exceptions has no exception ${id}`);
  }
  return {kind: 'ok', value: {...document, exceptions}};
}

function cloneJson(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value ?? null));
}

/** Returns faults that the schema cannot express. */
function semanticFaults(cfg: generated.Configuration): readonly string[] {
  const classes = new Set(cfg.classes.map(c => c.name));
  return [
    ...duplicates(
      '/classes',
      cfg.classes.map(c => c.name),
    ),
    ...duplicates(
      '/services',
      cfg.services.map(s => s.name),
    ),
    ...duplicates(
      '/exceptions',
      cfg.exceptions.map(e => e.id),
    ),
    ...cfg.services.flatMap(s =>
      s.routes
        .filter(r => !classes.has(r.class))
        .map(r => `/services/${s.name} names an unknown class ${r.class}`),
    ),
  ];
}

function duplicates(path: string, names: readonly string[]): readonly string[] {
  const seen = new Set<string>();
  const repeated = new Set<string>();
  for (const name of names) {
    if (seen.has(name)) repeated.add(name);
    seen.add(name);
  }
  return [...repeated].map(n => `${path} has ${n} more than once`);
}
