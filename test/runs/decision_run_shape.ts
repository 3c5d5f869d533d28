/** Shape and configuration of the fleet in randomised decision runs. */
import * as generated from '../../src/generated/configuration.js';
import * as randomSource from '../../src/common/random_source.js';
import * as virtualService from '../fakes/virtual_service.js';
import * as virtualServiceRunner from '../fakes/virtual_service_runner.js';

/** Service of all backend servers. */
export const SERVICE = 'stock';

/** Path of requests that kill the backend server. */
export const CRASHING_PATH = virtualServiceRunner.CRASHING_PATH;

/** Warm-up time of a cold backend server; shorter than the gates' slow start (COLD_START_MS). */
export const SERVER_WARM_UP_MS = 800;

const COLD_START_MS = 1_000;
const MIN_SERVERS = 3;
const MAX_SERVERS = 6;
const SLOTS = 4;
const MEDIAN_MS = 20;
const PROGRESS_TIMEOUT_MS = 100;
/** Longest time until a node applies a change. */
const PROPAGATION_MS = 1_500;
const DATA_CENTRES = ['couva', 'freeport', 'chaguanas'];
const REGION = 'tt-central';

const CLASSES: readonly generated.RequestClass[] = [
  {
    name: 'price-page',
    kind: 'interactive',
    deadlineMs: 400,
    idempotent: true,
    maxAttempts: 3,
    hedgeAfterMs: 60,
  },
  {
    name: 'order-history',
    kind: 'deferrable',
    deadlineMs: 800,
    idempotent: true,
    maxAttempts: 3,
    hedgeAfterMs: 0,
  },
  {
    name: 'stock-check',
    kind: 'must-arrive',
    deadlineMs: 1_500,
    idempotent: true,
    maxAttempts: 4,
    hedgeAfterMs: 0,
  },
  {
    name: 'place-order',
    kind: 'must-arrive',
    deadlineMs: 1_000,
    idempotent: false,
    maxAttempts: 3,
    hedgeAfterMs: 0,
  },
];

/** Draws a fleet of 3 to 6 servers in three data centres, with one entry without a server. */
export function build(
  random: randomSource.RandomSource,
): virtualService.FleetShape {
  const count = MIN_SERVERS + random.nextInt(MAX_SERVERS - MIN_SERVERS + 1);
  const nodes = Array.from({length: count}, (unused, i) => ({
    ...locationOf(i),
    nodeId: `${SERVICE}-${i + 1}`,
    service: SERVICE,
    slots: SLOTS,
    medianMs: MEDIAN_MS,
  }));
  const entry = {...locationOf(0), nodeId: 'entry', service: 'other', slots: 1};
  return {
    nodes: [...nodes, entry],
    configuration: configuration(),
    network: {
      intraDataCentreMs: 0.1,
      interDataCentreMs: 1,
      interRegionMs: 20,
      datagramLoss: 0.05,
      duplicateShare: 0.01,
      progressTimeoutMs: PROGRESS_TIMEOUT_MS,
    },
    propagationMs: PROPAGATION_MS,
  };
}

function locationOf(i: number): {
  readonly dataCentre: string;
  readonly region: string;
} {
  return {dataCentre: DATA_CENTRES[i % DATA_CENTRES.length], region: REGION};
}

function configuration(): generated.Configuration {
  const routes = CLASSES.map(c => ({
    method: 'POST' as const,
    pathPrefix: `/${c.name}`,
    class: c.name,
  }));
  return {
    defaults: {
      coldStartMs: COLD_START_MS,
      progressTimeoutMs: PROGRESS_TIMEOUT_MS,
    },
    classes: CLASSES,
    services: [{name: SERVICE, routes}],
    exceptions: [],
  };
}
