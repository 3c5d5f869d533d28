/** Actions of one event: notices, and datagrams with what each carries besides its body. */
import * as peer from '../../generated/peer.js';
import * as failureDetector from '../membership/failure_detector.js';
import * as units from '../units.js';
import * as confirmationUpkeep from './confirmation_upkeep.js';
import * as control from './control_contract.js';
import * as gossip from './gossip.js';
import * as logState from './log_state.js';
import * as recordNeeds from './record_needs.js';

/** Collects actions. */
export class Outbox {
  private actions: control.ControlAction[] = [];

  constructor(
    private readonly self: peer.Member,
    private readonly log: logState.LogState,
    private readonly news: gossip.Gossip,
    private readonly upkeep: confirmationUpkeep.ConfirmationUpkeep,
    private readonly needs: recordNeeds.RecordNeeds,
  ) {}

  /** Returns the actions collected since the last call. */
  take(): readonly control.ControlAction[] {
    const actions = this.actions;
    this.actions = [];
    return actions;
  }

  /** Adds an action, if there is one. */
  add(action: control.ControlAction | undefined): void {
    if (action) this.actions.push(action);
  }

  /** Adds a notice. */
  tell(notice: control.ControlNotice): void {
    this.actions.push({kind: 'notice', notice});
  }

  /** Sends datagrams. */
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

  /** Tells members this node's versions and news. */
  sendNews(members: readonly peer.Member[], nowMs: units.MonotonicMs): void {
    this.send(
      members.map(to => ({to, body: undefined})),
      nowMs,
    );
  }

  /** Tells random members this node's versions and news. */
  push(fanout: number, nowMs: units.MonotonicMs): void {
    if (fanout > 0) this.sendNews(this.news.pickAlive(fanout), nowMs);
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
      logAgeMs: this.upkeep.newest.wireAgeMs(nowMs),
      body,
      ...this.news.contentsOf(nowMs),
      sender: this.needs.isInLog ? undefined : this.self,
    };
  }
}
