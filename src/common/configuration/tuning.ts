/** Effective tuning of a service: built-in defaults, the configuration's defaults, overrides. */
import * as generated from '../../generated/configuration.js';

/** Service tuning with every value set. */
export type Tuning = Readonly<Required<generated.ServiceTuning>>;

/** Values used where the configuration sets none. Units as in the schema. */
export const DEFAULT_TUNING: Tuning = {
  retryBudgetRatio: 0.1,
  coldStartMs: 5_000,
  coldStartSlots: 1,
  queueLength: 24,
  progressTimeoutMs: 150,
  maxDepth: 16,
};

/** Returns the effective tuning of `service`; later overrides take precedence. */
export function tuningOf(
  cfg: generated.Configuration,
  service: string,
): Tuning {
  const overrides = cfg.exceptions.flatMap(e =>
    e.kind === 'service-override' && e.service === service ? [e.tuning] : [],
  );
  return Object.assign(
    {},
    DEFAULT_TUNING,
    cfg.defaults,
    ...overrides,
  ) as Tuning;
}
