#!/usr/bin/env node
/** Entry point of the command-line tool for operators. */
import * as clipanion from 'clipanion';

import * as configCheck from './commands/config_check.js';
import * as configHistory from './commands/config_history.js';
import * as configPublish from './commands/config_publish.js';
import * as configSettle from './commands/config_settle.js';
import * as configShow from './commands/config_show.js';
import * as dataCentre from './commands/data_centre.js';
import * as explain from './commands/explain.js';
import * as server from './commands/server.js';
import * as status from './commands/status.js';
import * as outcomes from './commands/outcomes.js';
import * as trace from './commands/trace.js';
import * as exitCodes from './exit_codes.js';

const COMMANDS = [
  clipanion.Builtins.HelpCommand,
  clipanion.Builtins.VersionCommand,
  configCheck.ConfigCheckCommand,
  configHistory.ConfigHistoryCommand,
  configPublish.ConfigPublishCommand,
  configSettle.ConfigSettleCommand,
  configShow.ConfigShowCommand,
  dataCentre.DataCentreListCommand,
  dataCentre.DataCentreOutCommand,
  dataCentre.DataCentreReturnCommand,
  explain.ExplainCommand,
  server.ServerListCommand,
  server.ServerOutCommand,
  server.ServerReturnCommand,
  status.StatusCommand,
  outcomes.OutcomesCommand,
  trace.TraceCommand,
];

const cli = new clipanion.Cli({
  binaryLabel: 'geraniumloft',
  binaryName: 'geraniumloft',
  binaryVersion: '0.1.0',
});
for (const command of COMMANDS) cli.register(command);

/** Runs a command and returns its exit code; arguments that match no command are invalid input. */
async function run(args: readonly string[]): Promise<number> {
  const context = clipanion.Cli.defaultContext;
  try {
    return await cli.run(cli.process([...args], context), context);
  } catch (err) {
    if (!(err instanceof Error)) throw err;
    process.stderr.write(cli.error(err));
    return exitCodes.EXIT_CODES.invalid;
  }
}

process.exitCode = await run(process.argv.slice(2));
