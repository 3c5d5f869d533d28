/** Carries out what the gate core asks for. */
import * as fleetView from '../common/control/fleet_view.js';
import * as gate from '../common/gate/gate_contract.js';
import * as invariants from '../common/invariants.js';
import * as peer from '../generated/peer.js';
import * as coreInputs from './core_inputs.js';
import * as datagramSocket from './datagram_socket.js';
import * as linkEvent from './link_event.js';
import * as memberDirectory from './member_directory.js';
import * as peerLinks from './peer_links.js';
import * as serverConnections from './server_connections.js';

/** Age told when nothing is known of the log's tail, in milliseconds. */
const UNKNOWN_LOG_AGE_MS = 0xffffffff;

/** What the gate's actions need of the node. */
export interface GateSurroundings {
  readonly identity: linkEvent.LinkIdentity;
  readonly view: fleetView.FleetView;
  readonly links: peerLinks.PeerLinks;
  readonly connections: serverConnections.ServerConnections;
  readonly datagrams: datagramSocket.DatagramSocket;
  /** Nothing is in flight at the gate after a stop. */
  onDrained(): void;
}

/** The gate's surroundings. */
export class GateActions {
  constructor(private readonly around: GateSurroundings) {}

  /** Carries out one action. */
  run(action: gate.GateAction, inputs: coreInputs.CoreInputs): void {
    switch (action.kind) {
      case 'run':
        return this.runOnServer(action);
      case 'abort':
        return this.around.connections.abort(action.callId, action.run);
      case 'answer':
        return this.answer(action.source, action.answer, inputs);
      case 'refuse':
        return this.refuse(action.source, action.refusal, inputs);
      case 'tell-siblings':
        return this.tellSiblings(action.nodeIds, action.load);
      case 'report-suspect':
        return inputs.toControl({kind: 'suspect-found', report: action.report});
      case 'drained':
        return this.around.onDrained();
      default:
        return invariants.assertNever(action);
    }
  }

  private runOnServer(
    action: Extract<gate.GateAction, {readonly kind: 'run'}>,
  ): void {
    const {call, run, freshConnection, deadlineMs} = action;
    const cfg = this.around.view.configuration;
    const idempotent = cfg?.requestClass(call.className)?.idempotent ?? false;
    this.around.connections.run({
      call,
      run,
      idempotent,
      freshConnection,
      deadlineMs,
    });
  }

  private answer(
    source: gate.CallSource,
    answer: peer.CallAnswer,
    inputs: coreInputs.CoreInputs,
  ): void {
    switch (source.kind) {
      case 'own-entry': {
        const {nodeId} = this.around.identity;
        return inputs.toEntry({kind: 'answer', nodeId, answer});
      }
      case 'link': {
        const frame = {body: {$case: 'answer', value: answer}} as const;
        return this.around.links.reply(source.linkId, frame);
      }
      default:
        return invariants.assertNever(source);
    }
  }

  private refuse(
    source: gate.CallSource,
    refusal: peer.CallRefusal,
    inputs: coreInputs.CoreInputs,
  ): void {
    switch (source.kind) {
      case 'own-entry': {
        const {nodeId} = this.around.identity;
        return inputs.toEntry({kind: 'refusal', nodeId, refusal});
      }
      case 'link': {
        const frame = {body: {$case: 'refusal', value: refusal}} as const;
        return this.around.links.reply(source.linkId, frame);
      }
      default:
        return invariants.assertNever(source);
    }
  }

  private tellSiblings(
    nodeIds: readonly string[],
    load: peer.LoadReport,
  ): void {
    const {identity, view, datagrams} = this.around;
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
