/** Runs the actions returned by the gate core. */
import * as fleetView from '../common/control/fleet_view.js';
import * as gateContract from '../common/gate/gate_contract.js';
import * as invariants from '../common/invariants.js';
import * as peer from '../generated/peer.js';
import * as coreInputs from './core_inputs.js';
import * as datagramSocket from './datagram_socket.js';
import * as linkEvent from './link_event.js';
import * as memberDirectory from './member_directory.js';
import * as peerLinks from './peer_links.js';
import * as serverConnections from './server_connections.js';

/** Log age sent when the state of the log's end is unknown, in milliseconds. */
const UNKNOWN_LOG_AGE_MS = 0xffffffff;

/** Parts of the node that the gate's actions use. */
export interface GateActionsContext {
  readonly identity: linkEvent.LinkIdentity;
  readonly view: fleetView.FleetView;
  readonly links: peerLinks.PeerLinks;
  readonly connections: serverConnections.ServerConnections;
  readonly datagrams: datagramSocket.DatagramSocket;
  /** Called after a stop, once nothing is in flight at the gate. */
  onDrained(): void;
}

/** Connects the gate core to the backend server, links and the other cores. */
export class GateActions {
  constructor(private readonly context: GateActionsContext) {}

  /** Runs one action. */
  run(action: gateContract.GateAction, inputs: coreInputs.CoreInputs): void {
    switch (action.kind) {
      case 'run':
        return this.runOnServer(action);
      case 'abort':
        return this.context.connections.abort(action.callId, action.run);
      case 'answer':
        return this.answer(action.source, action.answer, inputs);
      case 'refuse':
        return this.refuse(action.source, action.refusal, inputs);
      case 'tell-siblings':
        return this.sendLoadToSiblings(action.nodeIds, action.load);
      case 'report-suspect':
        return inputs.toControl({kind: 'suspect-found', report: action.report});
      case 'drained':
        return this.context.onDrained();
      default:
        return invariants.assertNever(action);
    }
  }

  private runOnServer(
    action: Extract<gateContract.GateAction, {readonly kind: 'run'}>,
  ): void {
    const {call, run, freshConnection, deadlineMs} = action;
    const cfg = this.context.view.configuration;
    const idempotent = cfg?.requestClass(call.className)?.idempotent ?? false;
    this.context.connections.run({
      call,
      run,
      idempotent,
      freshConnection,
      deadlineMs,
    });
  }

  private answer(
    source: gateContract.CallSource,
    answer: peer.CallAnswer,
    inputs: coreInputs.CoreInputs,
  ): void {
    switch (source.kind) {
      case 'own-entry': {
        const {nodeId} = this.context.identity;
        return inputs.toEntry({kind: 'answer', nodeId, answer});
      }
      case 'link': {
        const frame = {body: {$case: 'answer', value: answer}} as const;
        return this.context.links.reply(source.linkId, frame);
      }
      default:
        return invariants.assertNever(source);
    }
  }

  private refuse(
    source: gateContract.CallSource,
    refusal: peer.CallRefusal,
    inputs: coreInputs.CoreInputs,
  ): void {
    switch (source.kind) {
      case 'own-entry': {
        const {nodeId} = this.context.identity;
        return inputs.toEntry({kind: 'refusal', nodeId, refusal});
      }
      case 'link': {
        const frame = {body: {$case: 'refusal', value: refusal}} as const;
        return this.context.links.reply(source.linkId, frame);
      }
      default:
        return invariants.assertNever(source);
    }
  }

  private sendLoadToSiblings(
    nodeIds: readonly string[],
    load: peer.LoadReport,
  ): void {
    const {identity, view, datagrams} = this.context;
    const datagram: peer.Datagram = {
      nodeId: identity.nodeId,
      incarnation: identity.incarnation,
      configurationRevision: view.configuration?.revision ?? 0,
      rosterOffset: view.rosterOffset,
      logAgeMs: UNKNOWN_LOG_AGE_MS,
      body: {$case: 'load', value: {load}},
      updates: [],
      suspects: [],
      members: [],
      sender: undefined,
    };
    for (const nodeId of nodeIds) {
      const target = memberDirectory.linkTarget(view, nodeId);
      if (target) datagrams.send(target.ip, target.port, datagram);
    }
  }
}
