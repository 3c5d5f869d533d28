#!/usr/bin/env node
/** Starts `geraniumloftd`. Signals have handlers before the daemon itself is loaded. */
import * as processSignals from './process_signals.js';

const signals = new processSignals.ProcessSignals();
// A check that is interrupted must not end like one that found no fault.
if (!process.argv.includes('--check')) signals.install();

async function main(): Promise<number> {
  const daemonMain = await import('./daemon_main.js');
  await processSignals.signalsHandled();
  return daemonMain.main(signals);
}

// Without an explicit exit the handlers of signals would end before the process does.
void main().then(status => process.exit(status));
