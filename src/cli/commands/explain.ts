/** `geraniumloft explain`. */
import * as clipanion from 'clipanion';

import * as exitCodes from '../exit_codes.js';
import * as operatorCommand from '../operator_command.js';

/** Shows which servers a node would choose for a service, and why. */
export class ExplainCommand extends operatorCommand.NodeCommand {
  static override paths = [['explain']];
  static override usage = clipanion.Command.Usage({
    category: 'Nodes',
    description:
      'Show which servers a node would choose for a service, and why.',
    examples: [['Ask a node', '$0 explain catalogue --node 127.0.0.1:8002']],
  });

  readonly service = clipanion.Option.String({required: true});

  protected override async run(): Promise<exitCodes.ExitCode> {
    const explanation = await this.createClient().explain(this.service);
    this.print(explanation, [JSON.stringify(explanation, null, 2)]);
    return exitCodes.EXIT_CODES.done;
  }
}
