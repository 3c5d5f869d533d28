/** Links to the gates of all other nodes. */
import * as callKey from '../../common/serving/call_key.js';
import * as decision from '../../common/serving/decision.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as fleetDirectory from './fleet_directory.js';
import * as gateLink from './gate_link.js';
import * as gateLinkListener from './gate_link_listener.js';
import * as nodeRecord from './node_record.js';
import * as pulseInterval from './pulse_interval.js';

/** Interval of the timers of idle links, which are pinged after seconds. */
export const IDLE_TICK_INTERVAL_MS: units.Millis = 250;

/** Dependencies of `GateLinks`. */
export interface GateLinksOptions {
  readonly directory: fleetDirectory.FleetDirectory;
  readonly listener: Pick<
    gateLinkListener.GateLinkListener,
    | 'onUp'
    | 'onDown'
    | 'onMaybeUnreachable'
    | 'onNotice'
    | 'onAnswer'
    | 'onRefusal'
    | 'onPulse'
    | 'onState'
    | 'onSuspect'
    | 'onFreshnessProof'
    | 'onTokenGrant'
    | 'onOutcomeUnknown'
    | 'onGateResponds'
    | 'onRequestLost'
  >;
  readonly log: decision.DecisionLog;
  greeting(toNodeId: string): serving.Greeting;
  /** Longest time without a frame from a node until it is pinged, infinity without a bound. */
  maxPingAfterMs(nodeId: string): units.Millis;
  /** Returns the longest time for which a message that is read now may have waited. */
  waitedMs(): units.Millis;
  nowMs(): units.MonotonicMs;
}

/** Keeps a link open to each other node of the directory. */
export class GateLinks implements Disposable {
  private readonly links = new Map<string, gateLink.GateLink>();
  private readonly subscriptions: readonly Disposable[];
  /** Time at which the timers of idle links run next. */
  private idleTickMs: units.MonotonicMs = 0;

  constructor(private readonly options: GateLinksOptions) {
    const {directory} = options;
    this.subscriptions = [
      directory.onChanged(record => this.connect(record)),
      directory.onRemoved(nodeId => this.disconnect(nodeId)),
    ];
  }

  /** Whether the link to a node is open. */
  isUp(nodeId: string): boolean {
    return this.links.get(nodeId)?.isUp ?? false;
  }

  /** Whether the link to a process is open, see `callKey.processOf`. */
  isProcessUp(process: string): boolean {
    const nodeId = callKey.nodeOf(process);
    const startedMs = this.links.get(nodeId)?.processStartedMs;
    if (startedMs === undefined) return false;
    return callKey.processOf(nodeId, startedMs) === process;
  }

  /** Whether a node has not answered a ping in time and may be unreachable. */
  isMaybeUnreachable(nodeId: string): boolean {
    return this.links.get(nodeId)?.isMaybeUnreachable ?? false;
  }

  /** Sends a request to a node's gate; reports it as lost if there is no link to the node. */
  dispatch(nodeId: string, dispatch: serving.Dispatch): void {
    const link = this.links.get(nodeId);
    if (link) link.dispatch(dispatch);
    else {
      const {listener} = this.options;
      listener.onRequestLost(nodeId, dispatch.call, 'not-sent');
    }
  }

  /** Cancels a request at a node's gate; its outcome is not reported. */
  withdraw(nodeId: string, call: number): void {
    this.links.get(nodeId)?.withdraw(call);
  }

  /** Reconnects to a node without waiting for the backoff, after that node has connected here. */
  reconnectNow(nodeId: string): void {
    this.links.get(nodeId)?.reconnectNow();
  }

  /** Asks a node for tokens; ignored while there is no link to it. */
  requestTokens(nodeId: string, request: serving.TokenRequest): void {
    this.links.get(nodeId)?.requestTokens(request);
  }

  /** Pings all gates that were not heard within `quietMs`. */
  probeAll(quietMs: units.Millis): void {
    for (const link of this.links.values()) link.probe(quietMs);
  }

  /** Requests the fleet state that a node holds. */
  requestState(nodeId: string): void {
    this.links.get(nodeId)?.requestState();
  }

  /** Requests the freshness proof of a node. */
  requestFreshness(nodeId: string, question: number): void {
    this.links.get(nodeId)?.requestFreshness(question);
  }

  /** Runs the timers of the links; those of idle links less often, as they take seconds. */
  tick(now: units.MonotonicMs): void {
    const tickIdle = now >= this.idleTickMs;
    if (tickIdle) this.idleTickMs = now + IDLE_TICK_INTERVAL_MS;
    for (const link of this.links.values()) {
      if (tickIdle || !link.isIdle) link.tick(now);
    }
  }

  [Symbol.dispose](): void {
    for (const subscription of this.subscriptions) {
      subscription[Symbol.dispose]();
    }
    for (const nodeId of [...this.links.keys()]) this.disconnect(nodeId);
  }

  private connect(record: nodeRecord.NodeRecord): void {
    const {nodeId} = record;
    const known = this.links.get(nodeId);
    if (known) known.update(record);
    else this.links.set(nodeId, this.makeLink(record));
  }

  private makeLink(record: nodeRecord.NodeRecord): gateLink.GateLink {
    const {listener, greeting, nowMs, directory, maxPingAfterMs} = this.options;
    return new gateLink.GateLink(record, {
      greeting,
      nowMs,
      afterPoll: callback => void setImmediate(callback),
      idlePingAfterMs: () =>
        Math.min(
          pulseInterval.idlePingAfterMs(directory.size),
          maxPingAfterMs(record.nodeId),
        ),
      listener: {
        ...listener,
        onUp: (nodeId, up) => {
          directory.setLinked(nodeId, true);
          this.note('peer-regained', {nodeId, ...up});
          listener.onUp(nodeId, up);
        },
        onDown: (nodeId, loss) => {
          this.noteLoss(nodeId, loss);
          listener.onDown(nodeId, loss);
        },
        onMaybeUnreachable: nodeId => {
          this.note('peer-silent', {nodeId});
          listener.onMaybeUnreachable(nodeId);
        },
        // A silent node is still at its address; one whose connections fail may not be.
        onAbsent: nodeId => directory.setLinked(nodeId, false),
        onMismatch: (nodeId, found) => this.replaceNode(nodeId, found),
      },
    });
  }

  private disconnect(nodeId: string): void {
    const link = this.links.get(nodeId);
    this.links.delete(nodeId);
    this.options.directory.setLinked(nodeId, false);
    link?.[Symbol.dispose]();
  }

  private replaceNode(
    nodeId: string,
    found: serving.NodeRecord | undefined,
  ): void {
    this.note('peer-replaced', {nodeId, by: found?.nodeId});
    this.options.directory.remove(nodeId);
    if (found) this.options.directory.put(found);
  }

  private noteLoss(nodeId: string, loss: gateLinkListener.LinkLoss): void {
    const {detail, pending} = loss;
    const silentMs = Math.round(loss.silentMs);
    const pausedMs = Math.round(this.options.waitedMs());
    const facts = {nodeId, reason: detail, silentMs, pausedMs, pending};
    this.note('peer-lost', facts);
  }

  private note(event: string, facts: decision.Facts): void {
    decision.noteStateChange(this.options.log, 'fleet', event, facts);
  }
}
