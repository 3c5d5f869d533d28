/** `geraniumloft config settle`. */
import * as clipanion from 'clipanion';

import * as logClient from '../../node/log_client.js';
import * as changeCommand from '../change_command.js';
import * as exitCodes from '../exit_codes.js';
import * as operatorCommand from '../operator_command.js';
import * as publisher from '../publisher.js';

/** Reads the log to determine the outcome of a change that was reported as unknown. */
export class ConfigSettleCommand extends operatorCommand.LogCommand {
  static override paths = [['config', 'settle']];
  static override usage = clipanion.Command.Usage({
    category: 'Configuration',
    description: 'Print the outcome of a change; nothing is published.',
    examples: [
      [
        'Settle a change',
        '$0 config settle 01980f5e-5f0a-7c3e-9a51-2f6f0f5c1a11',
      ],
    ],
  });

  readonly changeId = clipanion.Option.String({required: true});

  protected override async runOn(
    log: logClient.LogService,
  ): Promise<exitCodes.ExitCode> {
    const changePublisher = new publisher.Publisher(log);
    const result = await changePublisher.settle(this.changeId, this.timeoutMs);
    return changeCommand.reportResult(result, (value, lines) => {
      this.print(value, lines);
    });
  }
}
