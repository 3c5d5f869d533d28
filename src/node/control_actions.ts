/** Runs the actions returned by the control core. */
import * as controlContract from '../common/control/control_contract.js';
import * as invariants from '../common/invariants.js';
import * as coreInputs from './core_inputs.js';
import * as datagramSocket from './datagram_socket.js';
import * as logger from './logger.js';
import * as remoteState from './remote_state.js';

/** Connects the control core to peers, the log and the other cores. */
export class ControlActions {
  constructor(
    private readonly datagrams: datagramSocket.DatagramSocket,
    private readonly remote: remoteState.RemoteState,
    private readonly log: logger.Logger,
    /** Called once this node's LEAVING record is in the log or may be skipped. */
    private readonly onLeft: () => void,
  ) {}

  /** Runs one action. */
  run(
    action: controlContract.ControlAction,
    inputs: coreInputs.CoreInputs,
  ): void {
    switch (action.kind) {
      case 'send-datagram':
        return this.datagrams.send(action.ip, action.port, action.datagram);
      case 'append':
        return this.remote.append(action.record);
      case 'read-log':
        return this.remote.read(action.from, action.limit, action.waitMs);
      case 'pull-state':
        return this.remote.pull(action.member, action.fromOffset);
      case 'notice':
        return this.handleNotice(action.notice, inputs);
      default:
        return invariants.assertNever(action);
    }
  }

  private handleNotice(
    notice: controlContract.ControlNotice,
    inputs: coreInputs.CoreInputs,
  ): void {
    switch (notice.kind) {
      case 'configuration-in-force':
        return this.log.info(`configuration ${notice.revision} is in force`);
      case 'liveness':
        return this.log.info(`node ${notice.nodeId}: ${notice.state}`);
      case 'roster':
        return this.log.info(`node ${notice.nodeId}: ${notice.event}`);
      case 'log':
        if (notice.reachable) this.log.info('log service: reachable');
        else this.log.warn('log service: out of reach');
        return;
      case 'stale':
        this.log.warn(notice.stale ? 'view: stale' : 'view: confirmed');
        return;
      case 'load': {
        const {nodeId, load} = notice;
        inputs.toGate({kind: 'sibling-load', nodeId, load});
        inputs.toEntry({kind: 'load', nodeId, load});
        return;
      }
      case 'suspect':
        return inputs.toGate({kind: 'suspect', report: notice.report});
      case 'left':
        return this.onLeft();
      default:
        return invariants.assertNever(notice);
    }
  }
}
