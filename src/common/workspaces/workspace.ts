/** Workspaces: the customers of a fleet, each with keys, a priority and a quota of its own. */

/** Requests that all nodes together accept from a workspace. */
export interface Quota {
  readonly ratePerSecond: number;
  /** Requests accepted beyond the rate after a time of lower use. */
  readonly burst: number;
}

/** A workspace as the configuration defines it. */
export interface Workspace {
  readonly name: string;
  /** Digests of the keys of its callers; the keys themselves are not kept. */
  readonly keyDigests: readonly string[];
  /** Importance of its requests, which replaces that of the route; 0 is the highest. */
  readonly rank: number | undefined;
  /** Undefined without a limit. */
  readonly quota: Quota | undefined;
}
