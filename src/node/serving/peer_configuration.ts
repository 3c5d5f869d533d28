/** Reads configurations that other nodes send, whose programs may be of another version. */
import * as configuration from '../../common/serving/configuration.js';
import * as errors from '../../common/errors.js';
import * as workspace from '../../common/workspaces/workspace.js';
import * as workspaceDirectory from '../../common/workspaces/workspace_directory.js';

/** Largest number but for versions; nodes send such numbers to each other as uint32. */
const MAX_NUMBER = 2 ** 32 - 1;

/** Stands for a number that need not be an integer in the templates below. */
const FRACTION = 0.5;

// A value matches a template that has its types; an array does whose items match the first one.
const ROUTE: configuration.Route = {
  name: '',
  host: '',
  pathPrefix: '',
  repeatable: false,
  timeoutMs: FRACTION,
  objectiveMs: FRACTION,
  rank: 0,
  attempts: 0,
  requiresKey: false,
  parts: [{service: '', weight: FRACTION}],
};

const SERVICE: configuration.ServiceRules = {
  name: '',
  healthPath: '',
  maxConnections: 0,
  coldStartMs: FRACTION,
  coldPerSecond: FRACTION,
};

const LIMITS: configuration.CallerLimits = {
  maxHeaderBytes: FRACTION,
  maxBodyBytes: FRACTION,
  headerTimeoutMs: FRACTION,
  idleTimeoutMs: FRACTION,
};

const WORKSPACE = {name: '', keyDigests: ['']};
const QUOTA: workspace.Quota = {ratePerSecond: FRACTION, burst: FRACTION};

/**
 * Parses a configuration.
 *
 * @throws errors.MalformedInputError if a field is missing, has another type or no value in its
 *     range, or if two workspaces share a name or a key.
 */
export function parse(text: string): configuration.FleetConfiguration {
  const site = {step: 'read configuration', peer: 'fleet'};
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (cause) {
    throw new errors.MalformedInputError('no JSON', site, {cause});
  }
  if (!isConfiguration(value)) {
    throw new errors.MalformedInputError('not a configuration', site);
  }
  workspaceDirectory.checkWorkspaces(value.workspaces ?? []);
  return value;
}

function isConfiguration(
  value: unknown,
): value is configuration.FleetConfiguration {
  if (!isObject(value)) return false;
  const {version, routes, services, limits, workspaces} = value;
  return (
    Number.isSafeInteger(version) &&
    Number(version) >= 0 &&
    matches(routes, [ROUTE]) &&
    matches(services, [SERVICE]) &&
    matches(limits, LIMITS) &&
    (workspaces === undefined || isWorkspaces(workspaces))
  );
}

function isWorkspaces(value: unknown): boolean {
  if (!Array.isArray(value) || !matches(value, [WORKSPACE])) return false;
  return value.every(
    ({rank, quota}: Readonly<Record<string, unknown>>) =>
      (rank === undefined || matches(rank, 0)) &&
      (quota === undefined || matches(quota, QUOTA)),
  );
}

function matches(value: unknown, template: unknown): boolean {
  if (Array.isArray(template)) {
    const [item] = template as readonly unknown[];
    return Array.isArray(value) && value.every(v => matches(v, item));
  }
  if (isObject(template)) {
    return (
      isObject(value) &&
      Object.entries(template).every(([key, t]) => matches(value[key], t))
    );
  }
  if (typeof value === 'number' && typeof template === 'number') {
    const isInRange = value >= 0 && value <= MAX_NUMBER;
    return isInRange && (template === FRACTION || Number.isInteger(value));
  }
  return typeof value === typeof template;
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
