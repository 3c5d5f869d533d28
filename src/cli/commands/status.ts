/** `geraniumloft status`. */
import * as clipanion from 'clipanion';

import * as operatorContract from '../../node/operator_contract.js';
import * as exitCodes from '../exit_codes.js';
import * as operatorCommand from '../operator_command.js';

const MEBIBYTE = 1024 * 1024;

/** Prints the state of one node and its view of the fleet. */
export class StatusCommand extends operatorCommand.NodeCommand {
  static override paths = [['status']];
  static override usage = clipanion.Command.Usage({
    category: 'Nodes',
    description: 'Print the state of one node and what it knows of the fleet.',
    examples: [['Ask a node', '$0 status --node 127.0.0.1:8002']],
  });

  protected override async run(): Promise<exitCodes.ExitCode> {
    const status = await this.createClient().status();
    this.print(status, formatStatus(status));
    return exitCodes.EXIT_CODES.done;
  }
}

function formatStatus(status: operatorContract.NodeStatus): readonly string[] {
  const {load} = status;
  const revision = status.configurationRevision ?? 'none';
  return [
    `${status.nodeId} (${status.service}, ${status.dataCentre}, ${status.region})`,
    `server ${status.serverState}, in flight ${load.inFlight} of ${load.limit}, queued ${load.queued}`,
    `configuration ${revision}, roster offset ${status.rosterOffset}${status.stale ? ', view stale' : ''}`,
    `memory ${(status.residentBytes / MEBIBYTE).toFixed(1)} MiB`,
    ...status.members.map(formatMember),
    ...Object.entries(status.counters).map(
      ([name, value]) => `${name} ${value}`,
    ),
  ];
}

function formatMember(member: operatorContract.MemberStatus): string {
  const flags = [
    member.roster,
    member.liveness,
    ...(member.out ? ['out'] : []),
    ...(member.provisional ? ['provisional'] : []),
  ];
  return `  ${member.nodeId} ${member.service} ${member.dataCentre} ${member.address} ${flags.join(' ')}`;
}
