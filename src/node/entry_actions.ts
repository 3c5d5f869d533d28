/** Runs the actions returned by the entry core. */
import * as fleetView from '../common/control/fleet_view.js';
import * as entryContract from '../common/entry/entry_contract.js';
import * as invariants from '../common/invariants.js';
import * as peer from '../generated/peer.js';
import * as coreInputs from './core_inputs.js';
import * as httpEntry from './http_entry.js';
import * as memberDirectory from './member_directory.js';
import * as peerLinks from './peer_links.js';

/** Connects the entry core to callers, links and this node's own gate. */
export class EntryActions {
  constructor(
    private readonly ownNodeId: string,
    private readonly view: fleetView.FleetView,
    private readonly links: peerLinks.PeerLinks,
    private readonly http: httpEntry.HttpEntry,
  ) {}

  /** Runs one action. */
  run(action: entryContract.EntryAction, inputs: coreInputs.CoreInputs): void {
    switch (action.kind) {
      case 'dispatch':
        return this.dispatch(action.nodeId, action.call, inputs);
      case 'cancel':
        return this.cancel(action.nodeId, action.callId, inputs);
      case 'respond':
        return this.http.respond(action.requestId, action.answer);
      case 'refuse':
        return this.http.refuse(action.requestId, action.refusal);
      default:
        return invariants.assertNever(action);
    }
  }

  private dispatch(
    nodeId: string,
    call: peer.CallRequest,
    inputs: coreInputs.CoreInputs,
  ): void {
    if (nodeId === this.ownNodeId) {
      inputs.toGate({kind: 'call', source: {kind: 'own-entry'}, call});
      return;
    }
    const target = memberDirectory.linkTarget(this.view, nodeId);
    if (target === undefined) {
      const {callId} = call;
      inputs.toEntry({
        kind: 'link-failed',
        nodeId,
        callId,
        sent: false,
        refused: false,
      });
      return;
    }
    const timeoutMs = memberDirectory.progressTimeoutMs(
      this.view,
      call.service,
    );
    this.links.sendCall(target, call, timeoutMs);
  }

  private cancel(
    nodeId: string,
    callId: string,
    inputs: coreInputs.CoreInputs,
  ): void {
    if (nodeId === this.ownNodeId) inputs.toGate({kind: 'cancel', callId});
    else this.links.sendCancel(nodeId, callId);
  }
}
