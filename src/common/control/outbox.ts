/** Actions that result from one event: notices, and datagrams with their piggybacked gossip. */
import * as peer from '../../generated/peer.js';
import * as failureDetector from '../membership/failure_detector.js';
import * as units from '../units.js';
import * as confirmationRefresher from './confirmation_refresher.js';
import * as controlContract from './control_contract.js';
import * as gossip from './gossip.js';
import * as logState from './log_state.js';
import * as requiredRecords from './required_records.js';

/** Collects the actions of one event. */
export class Outbox {
  private actions: controlContract.ControlAction[] = [];

  constructor(
    private readonly self: peer.Member,
    private readonly log: logState.LogState,
    private readonly gossip: gossip.Gossip,
    private readonly confirmationRefresher: confirmationRefresher.ConfirmationRefresher,
    private readonly required: requiredRecords.RequiredRecords,
  ) {}

  /** Returns and removes the collected actions. */
  drain(): readonly controlContract.ControlAction[] {
    const actions = this.actions;
    this.actions = [];
    return actions;
  }

  /** Adds an action unless it is undefined. */
  add(action: controlContract.ControlAction | undefined): void {
    if (action) this.actions.push(action);
  }

  /** Adds a notice action. */
  addNotice(notice: controlContract.ControlNotice): void {
    this.actions.push({kind: 'notice', notice});
  }

  /** Adds a `send-datagram` action for each message. */
  send(
    messages: readonly failureDetector.Message[],
    nowMs: units.MonotonicMs,
  ): void {
    for (const {to, body} of messages) {
      this.actions.push({
        kind: 'send-datagram',
        nodeId: to.nodeId,
        ip: to.ip,
        port: to.peerPort,
        datagram: this.datagram(body, nowMs),
      });
    }
  }

  /** Sends this node's versions and pending gossip to `members`. */
  sendGossip(members: readonly peer.Member[], nowMs: units.MonotonicMs): void {
    this.send(
      members.map(to => ({to, body: undefined})),
      nowMs,
    );
  }

  /** Sends this node's versions and pending gossip to `fanout` random live members. */
  spreadGossip(fanout: number, nowMs: units.MonotonicMs): void {
    if (fanout > 0) this.sendGossip(this.gossip.pickAlive(fanout), nowMs);
  }

  private datagram(
    body: peer.Datagram['body'],
    nowMs: units.MonotonicMs,
  ): peer.Datagram {
    return {
      nodeId: this.self.nodeId,
      incarnation: this.self.incarnation,
      configurationRevision: this.log.configuration.revision,
      rosterOffset: this.log.seenOffset,
      logAgeMs: this.confirmationRefresher.newest.wireAgeMs(nowMs),
      body,
      ...this.gossip.nextFields(nowMs),
      sender: this.required.isInLog ? undefined : this.self,
    };
  }
}
