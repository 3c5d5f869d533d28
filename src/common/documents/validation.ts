/** Validators generated from the JSON schemas, with their types. */
import type * as ajv from 'ajv';

import * as configuration from '../../generated/configuration.js';
import * as nodeSettings from '../../generated/node_settings.js';
import * as settings from '../../generated/settings.js';
import * as validators from '../../generated/validators.js';

/** An error of a validator. */
export type SchemaError = ajv.ErrorObject;

/** Checks a value and fills in its defaults; `errors` tells of the last call. */
export interface Validator {
  (value: unknown): boolean;
  readonly errors?: readonly SchemaError[] | null;
}

/** Checks a value by a schema; T is the type that the schema describes. */
export class Schema<T> {
  constructor(private readonly validator: Validator) {}

  /** Checks `value`, filling in defaults. */
  accepts(value: unknown): value is T {
    return this.validator(value);
  }

  /** Errors of the last check. */
  get errors(): readonly SchemaError[] {
    return this.validator.errors ?? [];
  }
}

/** Schema of the settings of a node. */
export const SETTINGS = new Schema<settings.Settings>(
  validators.validateSettings as Validator,
);

/** Schema of the configuration. */
export const CONFIGURATION = new Schema<configuration.Configuration>(
  validators.validateConfiguration as Validator,
);

/** Schema of an operation on the configuration. */
export const OPERATION = new Schema<unknown>(
  validators.validateOperation as Validator,
);

/** Schema of the settings of a node on the users' platform. */
export const NODE_SETTINGS = new Schema<nodeSettings.NodeSettings>(
  validators.validateNodeSettings as Validator,
);
