/** Command line of the latency measurement. */
import * as util from 'node:util';

/** Load, durations and output of a latency measurement. */
export interface LatencyOptions {
  /** Requests per second over all paths together. */
  readonly ratePerSecond: number;
  readonly seconds: number;
  readonly warmUpSeconds: number;
  /** Service time of the backend server for each request, in milliseconds. */
  readonly serviceMs: number;
  readonly json: boolean;
  /** Directory for processor profiles of the nodes; empty to write none. */
  readonly profileDir: string;
}

/** Parses the command line arguments; throws a TypeError for an unknown option. */
export function parseOptions(args: readonly string[]): LatencyOptions {
  const {values} = util.parseArgs({
    args: [...args],
    options: {
      rate: {type: 'string', default: '200'},
      seconds: {type: 'string', default: '10'},
      'warm-up': {type: 'string', default: '12'},
      'service-ms': {type: 'string', default: '30'},
      json: {type: 'boolean', default: false},
      profile: {type: 'string', default: ''},
    },
  });
  return {
    ratePerSecond: Number(values.rate),
    seconds: Number(values.seconds),
    warmUpSeconds: Number(values['warm-up']),
    serviceMs: Number(values['service-ms']),
    json: values.json,
    profileDir: values.profile,
  };
}
