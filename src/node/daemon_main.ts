/** The daemon: `geraniumloftd --settings FILE [--check]`. */
import * as counters from '../common/counters.js';
import * as generated from '../generated/settings.js';
import * as daemon from './daemon.js';
import * as logger from './logger.js';
import * as processFailures from './process_failures.js';
import type * as processSignals from './process_signals.js';
import * as program from './program.js';
import * as resourceStack from './resource_stack.js';
import * as settingsFile from './settings.js';
import * as settingsWait from './settings_wait.js';
import * as statsdCounters from './statsd_counters.js';

const USAGE = 'usage: geraniumloftd --settings FILE [--check]';

async function run(
  settings: generated.Settings,
  signals: processSignals.ProcessSignals,
): Promise<void> {
  const log = logger.createLogger(settings.nodeId, settings.logLevel);
  processFailures.exitOnUnhandled(({step, cause}) =>
    log.error(`${step}: ${cause}`),
  );
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
  await new Promise<void>(resolve =>
    signals.attach({
      onStop: () => void node.stop().then(resolve),
      onReload: () => log.info('ignored SIGHUP: settings are read at start'),
      onIgnored: signal => log.info(`ignored ${signal}`),
    }),
  );
  log.info('stopped');
}

/**
 * Runs the daemon with the arguments of the process; resolves with its exit status.
 *
 * @param signals installed by the script that loads the daemon.
 */
export async function main(
  signals: processSignals.ProcessSignals,
): Promise<number> {
  const args = program.parseArguments(process.argv.slice(2));
  if (args === undefined) {
    console.error(USAGE);
    return program.USAGE_STATUS;
  }
  try {
    const read = (): generated.Settings =>
      settingsFile.readSettings(args.settings);
    if (args.check) {
      read();
    } else {
      await run(await settingsWait.readWhenWhole(read), signals);
    }
    return 0;
  } catch (err) {
    return program.reportFailure(err);
  }
}
