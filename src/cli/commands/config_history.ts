/** `geraniumloft config history`. */
import * as clipanion from 'clipanion';

import * as logClient from '../../node/log_client.js';
import * as exitCodes from '../exit_codes.js';
import * as fleetLog from '../fleet_log.js';
import * as operatorCommand from '../operator_command.js';

/** Lists the changes still in the log, with author, reason and outcome. */
export class ConfigHistoryCommand extends operatorCommand.LogCommand {
  static override paths = [['config', 'history']];
  static override usage = clipanion.Command.Usage({
    category: 'Configuration',
    description: 'List changes with author, reason and outcome.',
    examples: [['List them', '$0 config history']],
  });

  protected override async runOn(
    log: logClient.LogService,
    fleet: fleetLog.FleetLog,
  ): Promise<exitCodes.ExitCode> {
    const history = fleet.history();
    this.print(history, history.map(formatEntry));
    return exitCodes.EXIT_CODES.done;
  }
}

function formatEntry(entry: fleetLog.HistoryEntry): string {
  const time = new Date(entry.timeMs).toISOString();
  const revision = entry.revision === undefined ? '' : ` ${entry.revision}`;
  const by = entry.rejectedBy ? ` by ${entry.rejectedBy}` : '';
  return (
    `${time} ${entry.outcome}${revision}${by} ${entry.operation} ` +
    `${entry.author}: ${entry.reason} (${entry.changeId})`
  );
}
