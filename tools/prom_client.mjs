/**
 * Exports the parts of prom-client that the daemon uses. The index also loads the default metrics,
 * cluster support and OpenTelemetry, which takes 30 ms of CPU time at each start.
 */
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';

export {Counter, Gauge, Histogram, Registry};
