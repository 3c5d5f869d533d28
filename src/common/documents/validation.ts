/** Typed wrappers of the validators generated from the JSON schemas. */
import type * as ajv from 'ajv';

import * as configuration from '../../generated/configuration.js';
import * as nodeSettings from '../../generated/node_settings.js';
import * as settings from '../../generated/settings.js';
import * as validators from '../../generated/validators.js';

/** An error reported by a validator. */
export type SchemaError = ajv.ErrorObject;

/** Validates a value and fills in its defaults in place. `errors` refers to the last call. */
export interface Validator {
  (value: unknown): boolean;
  readonly errors?: readonly SchemaError[] | null;
}

/** Validates values against a schema; T is the type described by the schema. */
export class Schema<T> {
  constructor(private readonly validator: Validator) {}

  /** Validates `value` and fills in its defaults in place. */
  validate(value: unknown): value is T {
    return this.validator(value);
  }

  /** Errors of the last call of `validate`, empty if it was valid. */
  get errors(): readonly SchemaError[] {
    return this.validator.errors ?? [];
  }
}

/** Schema of the node settings. */
export const SETTINGS = /* @__PURE__ */ new Schema<settings.Settings>(
  validators.validateSettings as Validator,
);

/** Schema of the configuration. */
export const CONFIGURATION =
  /* @__PURE__ */ new Schema<configuration.Configuration>(
    validators.validateConfiguration as Validator,
  );

/** Schema of configuration operations. */
export const OPERATION = /* @__PURE__ */ new Schema<unknown>(
  validators.validateOperation as Validator,
);

/** Schema of the node settings on the users' platform. */
export const NODE_SETTINGS =
  /* @__PURE__ */ new Schema<nodeSettings.NodeSettings>(
    validators.validateNodeSettings as Validator,
  );
