#!/usr/bin/env node
/**
 * Starts the daemon for the users' platform. Signals have handlers before the daemon itself is
 * loaded, which takes most of a start.
 */
import * as processSignals from '../node/process_signals.js';

const signals = new processSignals.ProcessSignals();
// A check that is interrupted must not end like one that found no fault.
if (!process.argv.includes('--check')) signals.install();

async function main(): Promise<number> {
  await processSignals.signalsHandled();
  const daemon = await import('./platform_daemon.js');
  await processSignals.signalsHandled();
  return daemon.main(signals);
}

// Open connections of callers must not delay the exit; all requests read have been answered.
void main().then(status => process.exit(status));
