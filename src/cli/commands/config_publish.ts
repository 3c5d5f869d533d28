/** `geraniumloft config publish`. */
import * as clipanion from 'clipanion';

import * as operation from '../../common/configuration/operation.js';
import * as changeCommand from '../change_command.js';
import * as configurationFile from '../configuration_file.js';

/** Replaces the accepted configuration by the one in a file. */
export class ConfigPublishCommand extends changeCommand.ChangeCommand {
  static override paths = [['config', 'publish']];
  static override usage = clipanion.Command.Usage({
    category: 'Configuration',
    description: 'Publish a configuration file in place of the accepted one.',
    examples: [
      [
        'Publish a file',
        '$0 config publish caroni.jsonc --reason "new class for stock checks"',
      ],
    ],
  });

  readonly file = clipanion.Option.String({required: true});

  protected override operation(): operation.Operation {
    const configuration = configurationFile.readConfiguration(this.file);
    return {kind: 'replace', configuration};
  }
}
