/** Log lines for changes of state, on standard error. */
import * as loglevel from 'loglevel';

/** Writes log lines; single events are counted instead. */
export interface Logger {
  error(message: string): void;
  warn(message: string): void;
  info(message: string): void;
  debug(message: string): void;
}

/** Returns a logger that prefixes time, level and `name`. */
export function createLogger(
  name: string,
  level: loglevel.LogLevelDesc,
): Logger {
  const logger = loglevel.default.getLogger(name);
  // An error such as EPIPE or ENOSPC must not end the process.
  process.stderr.on('error', () => undefined);
  logger.methodFactory = methodName => {
    return (...parts: readonly unknown[]) => {
      const line = `${new Date().toISOString()} ${methodName} ${name}: ${parts.join(' ')}`;
      process.stderr.write(line + '\n');
    };
  };
  logger.setLevel(level, false);
  return logger;
}
