#!/usr/bin/env node
/** The daemon: `geraniumloftd --settings FILE [--check]`. */
import * as util from 'node:util';

import * as counters from '../common/counters.js';
import * as generated from '../generated/settings.js';
import * as daemon from './daemon.js';
import * as logger from './logger.js';
import * as resourceStack from './resource_stack.js';
import * as settingsFile from './settings.js';
import * as statsdCounters from './statsd_counters.js';

/** Exit status for wrong arguments or settings. */
const USAGE_STATUS = 2;

/** Exit status after a failure to start. */
const FAILED_STATUS = 1;

const USAGE = 'usage: geraniumloftd --settings FILE [--check]';

interface Arguments {
  readonly settings: string;
  readonly check: boolean;
}

function parseArguments(args: readonly string[]): Arguments | undefined {
  try {
    const {values} = util.parseArgs({
      args: [...args],
      options: {
        settings: {type: 'string'},
        check: {type: 'boolean', default: false},
      },
    });
    const {settings, check} = values;
    return settings === undefined ? undefined : {settings, check};
  } catch {
    return undefined;
  }
}

async function run(settings: generated.Settings): Promise<void> {
  const log = logger.createLogger(settings.nodeId, settings.logLevel);
  await using resources = new resourceStack.ResourceStack();
  const count = settings.statsd
    ? resources.use(
        new statsdCounters.StatsdCounters(settings.statsd, err =>
          log.debug(`StatsD: ${err.message}`),
        ),
      )
    : new counters.MemoryCounters();
  await using node = await daemon.Daemon.start({settings, count, log});
  log.info('listening');
  await new Promise<void>(resolve => {
    const stop = (): void => void node.stop().then(resolve);
    process.on('SIGTERM', stop);
    process.on('SIGINT', stop);
  });
  log.info('stopped');
}

async function main(): Promise<number> {
  const args = parseArguments(process.argv.slice(2));
  if (args === undefined) {
    console.error(USAGE);
    return USAGE_STATUS;
  }
  try {
    const settings = settingsFile.readSettings(args.settings);
    if (!args.check) await run(settings);
    return 0;
  } catch (err) {
    if (err instanceof settingsFile.SettingsError) {
      for (const line of err.lines) console.error(line);
      return USAGE_STATUS;
    }
    console.error(err instanceof Error ? err.message : String(err));
    return FAILED_STATUS;
  }
}

process.exitCode = await main();
