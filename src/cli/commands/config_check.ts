/** `geraniumloft config check`. */
import * as clipanion from 'clipanion';

import * as configurationFile from '../configuration_file.js';
import * as exitCodes from '../exit_codes.js';
import * as operatorCommand from '../operator_command.js';

/** Validates a configuration file without publishing it. */
export class ConfigCheckCommand extends operatorCommand.OperatorCommand {
  static override paths = [['config', 'check']];
  static override usage = clipanion.Command.Usage({
    category: 'Configuration',
    description: 'Check a configuration file; nothing is published.',
    examples: [['Check a file', '$0 config check caroni.jsonc']],
  });

  readonly file = clipanion.Option.String({required: true});

  protected override async run(): Promise<exitCodes.ExitCode> {
    const cfg = configurationFile.readConfiguration(this.file);
    const {services, classes, exceptions} = cfg;
    this.print({valid: true}, [
      `${this.file}: valid, ${services.length} services, ` +
        `${classes.length} classes, ${exceptions.length} exceptions`,
    ]);
    return exitCodes.EXIT_CODES.done;
  }
}
