/** Command line of the latency measurement. */
import * as util from 'node:util';

/** What is measured and for how long. */
export interface LatencyOptions {
  /** Requests a second, over all paths together. */
  readonly rate: number;
  readonly seconds: number;
  readonly warmUpSeconds: number;
  /** Time that the backend server takes for a request, in milliseconds. */
  readonly serviceMs: number;
  readonly json: boolean;
  /** Directory for processor profiles of the nodes; empty for none. */
  readonly profile: string;
}

/** Parses the arguments after the program's name. */
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
    rate: Number(values.rate),
    seconds: Number(values.seconds),
    warmUpSeconds: Number(values['warm-up']),
    serviceMs: Number(values['service-ms']),
    json: values.json,
    profile: values.profile,
  };
}
