/** Signals of a daemon, from the first statement of its script until it exits. Imports nothing. */

/** Signals that stop a daemon. */
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** A signal that stops a daemon. */
export type StopSignal = (typeof STOP_SIGNALS)[number];

/**
 * Signals that have no meaning here and would end the process, or open the inspector in the case of
 * SIGUSR1.
 */
const IGNORED_SIGNALS = [
  'SIGUSR1',
  'SIGUSR2',
  'SIGALRM',
  'SIGVTALRM',
  'SIGPROF',
  'SIGIO',
] as const;

/** What a running daemon does on signals. */
export interface SignalHandlers {
  /** Runs the planned stop; called for each stop signal. */
  readonly onStop: (signal: StopSignal) => void;
  /** Reads the settings again; not called after a stop signal. */
  readonly onReload: () => void;
  /** Notes a signal that has no meaning. */
  readonly onIgnored: (signal: NodeJS.Signals) => void;
}

/**
 * Receives the signals of the process. Until a daemon attaches its handlers, a stop signal ends the
 * process with status 0, as nothing runs yet, and other signals are kept.
 */
export class ProcessSignals {
  private handlers: SignalHandlers | undefined;
  private isReloadKept = false;
  private isStopping = false;
  private readonly ignored = new Set<NodeJS.Signals>();

  /** Installs the handlers of the process; they stay until it exits. */
  install(): void {
    for (const signal of STOP_SIGNALS) {
      process.on(signal, () => this.stop(signal));
    }
    process.on('SIGHUP', () => this.reload());
    for (const signal of IGNORED_SIGNALS) {
      process.on(signal, () => this.ignore(signal));
    }
  }

  /** Passes signals to the handlers from now on, and first the ones that were kept. */
  attach(handlers: SignalHandlers): void {
    this.handlers = handlers;
    for (const signal of this.ignored) handlers.onIgnored(signal);
    if (this.isReloadKept) handlers.onReload();
  }

  private stop(signal: StopSignal): void {
    if (this.handlers === undefined) process.exit(0);
    this.isStopping = true;
    this.handlers.onStop(signal);
  }

  private reload(): void {
    if (this.handlers === undefined) this.isReloadKept = true;
    else if (!this.isStopping) this.handlers.onReload();
  }

  private ignore(signal: NodeJS.Signals): void {
    if (this.handlers === undefined) this.ignored.add(signal);
    else this.handlers.onIgnored(signal);
  }
}

/** Resolves after signals that have arrived were handled. */
export function signalsHandled(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
