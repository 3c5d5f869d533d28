/** The daemon for the users' platform: `geraniumloft-node [--settings FILE] [--check]`. */
import * as adapter from '../../platform/adapter.js';
import * as decision from '../common/serving/decision.js';
import * as units from '../common/units.js';
import type * as generated from '../generated/node_settings.js';
import * as eventLog from '../node/serving/event_log.js';
import * as memoryWatch from '../node/serving/memory_watch.js';
import type * as nodeSettings from '../node/serving/node_settings.js';
import * as servingNode from '../node/serving/serving_node.js';
import * as telemetry from '../node/serving/telemetry.js';
import * as processFailures from '../node/process_failures.js';
import type * as processSignals from '../node/process_signals.js';
import * as program from '../node/program.js';
import * as settings from '../node/settings.js';
import * as settingsWait from '../node/settings_wait.js';
import * as daemonSettings from './daemon_settings.js';
import * as settingsReload from './settings_reload.js';

/** Environment variable with the path of the settings file, used without `--settings`. */
const SETTINGS_VARIABLE = 'GERANIUMLOFT_BOOT';

/** Interval of checks of the memory of the process in ms. */
const MEMORY_CHECK_MS = 1_000;

const USAGE = 'usage: geraniumloft-node [--settings FILE] [--check]';

/** Rate of the log before the settings are read, in bytes per second. */
const EARLY_LOG_BYTES_PER_SECOND = 64_000;

/** Settings of the log. */
type LogSettings = Pick<
  generated.NodeSettings,
  'logBytesPerSecond' | 'routineLogShare'
>;

/**
 * Start of the process by the time of day. Loading the script takes hundreds of milliseconds after
 * a restart, in which the backend server beside this process may start.
 */
function processStartMs(): units.EpochMs {
  return Math.floor(performance.timeOrigin);
}

function createLog(
  nodeId: string | undefined,
  {logBytesPerSecond, routineLogShare}: LogSettings,
): eventLog.EventLog {
  return new eventLog.EventLog({
    nodeId,
    processStartedMs: processStartMs(),
    bytesPerSecond: logBytesPerSecond,
    routineShare: routineLogShare,
    output: process.stdout,
    nowMs: () => performance.now(),
  });
}

/** Logs a change of state before the name of the node is known. */
function noteEarly(event: string, facts: decision.Facts): void {
  const log = createLog(undefined, {
    logBytesPerSecond: EARLY_LOG_BYTES_PER_SECOND,
    routineLogShare: 0,
  });
  decision.noteStateChange(log, 'node', event, facts);
}

/**
 * Reads the settings for a start; logs that it waits for them, or why they are refused.
 *
 * @throws settings.SettingsError if they have faults, or are not whole in time.
 */
async function readForStart(
  read: () => nodeSettings.SettingsFile,
): Promise<nodeSettings.SettingsFile> {
  try {
    return await settingsWait.readWhenWhole(read, (timeoutMs, faults) =>
      noteEarly('settings-waiting', {timeoutMs, faults}),
    );
  } catch (err) {
    noteEarly('failed', {
      step: 'read settings',
      cause: settings.describeError(err),
    });
    throw err;
  }
}

async function run(
  path: string,
  file: nodeSettings.SettingsFile,
  signals: processSignals.ProcessSignals,
): Promise<void> {
  const initial = file.settings;
  const processStartedMs = processStartMs();
  const log = new telemetry.Telemetry(createLog(initial.nodeId, initial));
  const note = (event: string, facts: decision.Facts): void =>
    decision.noteStateChange(log, 'node', event, facts);
  processFailures.exitOnUnhandled(failure => note('failed', {...failure}));
  if (file.faults.length > 0) {
    note('settings-adjusted', {faults: settings.describeFaults(file.faults)});
  }
  const platform = adapter.createPlatform(initial.store, initial.bounds);
  await using unusedStore = platform.store;
  await using node = await servingNode.ServingNode.start({
    settings: initial,
    platform,
    telemetry: log,
    processStartedMs,
  }).catch((err: Error) => {
    note('failed', {step: 'start', cause: err.message});
    throw err;
  });
  const {service, dataCentre, memoryMb} = initial;
  note('start', {service, dataCentre, memoryMb, runtime: process.version});
  using reloads = new settingsReload.SettingsReload({
    path,
    initial: file,
    apply: changed => node.reload(changed),
    note,
  });
  const memory = memoryWatch.MemoryWatch.ofProcess(memoryMb, note);
  // Checked until the process exits, as a planned stop takes memory too.
  setInterval(() => memory.check(), MEMORY_CHECK_MS).unref();
  const signal = await new Promise<string>(onStop =>
    signals.attach({
      onStop,
      onReload: () => reloads.reload(),
      onIgnored: ignored => note('signal-ignored', {signal: ignored}),
    }),
  );
  reloads[Symbol.dispose]();
  note('stop', {signal});
  await node.stop();
  note('stopped', {});
}

/**
 * Runs the daemon with the arguments of the process; resolves with its exit status.
 *
 * @param signals installed by the script that loads the daemon.
 */
export async function main(
  signals: processSignals.ProcessSignals,
): Promise<number> {
  const args = program.parseArguments(
    process.argv.slice(2),
    process.env[SETTINGS_VARIABLE],
  );
  if (args === undefined) {
    console.error(USAGE);
    noteEarly('failed', {step: 'read arguments', cause: USAGE});
    return program.USAGE_STATUS;
  }
  try {
    const read = (): nodeSettings.SettingsFile =>
      daemonSettings.readSettings(args.settings);
    if (args.check) {
      const {faults} = read();
      if (faults.length > 0) {
        throw new settings.SettingsError(args.settings, faults);
      }
    } else {
      const file = await readForStart(read);
      await run(args.settings, file, signals);
    }
    return 0;
  } catch (err) {
    return program.reportFailure(err);
  }
}
