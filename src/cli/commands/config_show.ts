/** `geraniumloft config show`. */
import * as clipanion from 'clipanion';

import * as logClient from '../../node/log_client.js';
import * as exitCodes from '../exit_codes.js';
import * as fleetLog from '../fleet_log.js';
import * as operatorCommand from '../operator_command.js';

/** Prints the accepted configuration and its revision. */
export class ConfigShowCommand extends operatorCommand.LogCommand {
  static override paths = [['config', 'show']];
  static override usage = clipanion.Command.Usage({
    category: 'Configuration',
    description: 'Print the accepted configuration and its revision.',
    examples: [['Show it', '$0 config show --log 127.0.0.1:9000']],
  });

  protected override async runOn(
    log: logClient.LogService,
    fleet: fleetLog.FleetLog,
  ): Promise<exitCodes.ExitCode> {
    const {revision, configuration} = fleet.currentState.configuration;
    const document = configuration?.document;
    this.print({revision, configuration: document ?? null}, [
      `// revision ${revision}`,
      document ? JSON.stringify(document, null, 2) : '// none published yet',
    ]);
    return exitCodes.EXIT_CODES.done;
  }
}
