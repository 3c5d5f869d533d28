/** Control cores in virtual time, with a network and a log into which faults can be injected. */
import * as peer from '../../src/generated/peer.js';
import * as controlContract from '../../src/common/control/control_contract.js';
import * as controlCore from '../../src/common/control/control_core.js';
import * as counters from '../../src/common/counters.js';
import * as invariants from '../../src/common/invariants.js';
import * as randomSource from '../../src/common/random_source.js';
import * as units from '../../src/common/units.js';
import * as virtualLog from './virtual_log.js';

const EPOCH_MS = 1_700_000_000_000;

/** Options of a VirtualFleet; shares are between 0 and 1. */
export interface FleetOptions {
  readonly seed: number;
  readonly members: readonly peer.Member[];
  /** Share of datagrams lost. */
  readonly loss?: number;
  /** Share of datagrams sent twice. */
  readonly duplication?: number;
  /** Longest delay of a message, one way. */
  readonly delayMs?: units.Millis;
  /** Share of appends whose answer is lost; half of these records are stored. */
  readonly lostAppendAnswers?: number;
  /** Largest offset of a node's wall clock, in either direction. */
  readonly clockSkewMs?: units.Millis;
}

/** A notice of a control core with the virtual time at which it was raised. */
export interface TimedNotice {
  readonly atMs: number;
  readonly notice: controlContract.ControlNotice;
}

/** One incarnation of a node; a restart creates a new object. */
export class VirtualControlNode {
  readonly core: controlCore.ControlCore;
  readonly counters = new counters.MemoryCounters();
  readonly notices: TimedNotice[] = [];
  alive = true;
  pausedUntilMs = 0;
  backlog: controlContract.ControlEvent[] = [];
  nextTickMs = 0;

  constructor(
    readonly member: peer.Member,
    readonly skewMs: units.Millis,
    random: randomSource.RandomSource,
    bootstrapPeers: readonly peer.Member[],
  ) {
    this.core = new controlCore.ControlCore({
      self: member,
      random,
      counters: this.counters,
      invariants: new invariants.Invariants(this.counters),
      bootstrapPeers,
    });
  }
}

/**
 * Runs control cores on a virtual clock with a step of 1 ms. All randomness comes from the seed, so
 * a run can be repeated.
 */
export class VirtualControlFleet {
  readonly log = new virtualLog.VirtualLog();
  readonly nodes = new Map<string, VirtualControlNode>();
  readonly traffic = {
    datagrams: 0,
    bytes: 0,
    largest: 0,
    pulls: 0,
    pullBytes: 0,
  };
  nowMs = 0;
  /** Events handled by all nodes. */
  eventCount = 0;
  /** Ids of nodes that cannot reach the log. */
  readonly withoutLog = new Set<string>();
  /** Whether the network drops all traffic between two nodes. */
  isPartitioned: (from: string, to: string) => boolean = () => false;
  bootstrapPeers: readonly peer.Member[] = [];
  /** Called after each event that a node handles, also those delivered when a pause ends. */
  onEventHandled: (node: VirtualControlNode) => void = () => {};
  readonly random: randomSource.SeededRandom;
  private readonly queue = new Map<number, (() => void)[]>();

  constructor(readonly options: FleetOptions) {
    this.random = new randomSource.SeededRandom(options.seed);
  }

  /** Starts all members at random times within `spreadMs`. */
  startAll(spreadMs: units.Millis): void {
    for (const member of this.options.members) {
      this.after(this.random.nextInt(spreadMs), () => this.start(member));
    }
  }

  /** Starts a node with a random clock skew and a ready backend server. */
  start(member: peer.Member): VirtualControlNode {
    const skew = this.options.clockSkewMs ?? 0;
    const skewMs = skew > 0 ? this.random.nextInt(2 * skew) - skew : 0;
    const random = new randomSource.SeededRandom(
      this.random.nextInt(0x7fff_ffff),
    );
    const node = new VirtualControlNode(
      member,
      skewMs,
      random,
      this.bootstrapPeers,
    );
    this.nodes.set(member.nodeId, node);
    this.deliver(node, {kind: 'server-state', state: 'ready'});
    return node;
  }

  /** Ends a node at once, without a leave. */
  kill(nodeId: string): void {
    const node = this.nodes.get(nodeId);
    if (node) node.alive = false;
    this.nodes.delete(nodeId);
  }

  restart(nodeId: string): void {
    const node = this.nodes.get(nodeId);
    if (node === undefined) return;
    this.kill(nodeId);
    const incarnation = node.member.incarnation + 1;
    this.start({...node.member, incarnation});
  }

  /** Suspends a node; it handles the events that arrived meanwhile when it resumes. */
  pause(nodeId: string, forMs: units.Millis): void {
    const node = this.nodes.get(nodeId);
    if (node === undefined || node.pausedUntilMs > this.nowMs) return;
    node.pausedUntilMs = this.nowMs + forMs;
    this.after(forMs, () => this.resume(node));
  }

  /** Starts the planned stop of a node. */
  stop(nodeId: string): void {
    const node = this.nodes.get(nodeId);
    if (node) this.deliver(node, {kind: 'stop'});
  }

  append(record: peer.LogRecord): number {
    return this.log.append(record);
  }

  /** Wall clock time: that of `node` with its skew, or the true time. */
  epochMs(node?: VirtualControlNode): units.EpochMs {
    return EPOCH_MS + this.nowMs + (node?.skewMs ?? 0);
  }

  after(delayMs: units.Millis, run: () => void): void {
    const atMs = this.nowMs + Math.max(0, Math.floor(delayMs));
    const bucket = this.queue.get(atMs);
    if (bucket) bucket.push(run);
    else this.queue.set(atMs, [run]);
  }

  runFor(forMs: units.Millis): void {
    const untilMs = this.nowMs + forMs;
    for (; this.nowMs < untilMs; this.nowMs++) {
      const bucket = this.queue.get(this.nowMs);
      if (bucket === undefined) continue;
      for (let i = 0; i < bucket.length; i++) bucket[i]();
      this.queue.delete(this.nowMs);
    }
  }

  /** Runs until the condition holds; returns the elapsed time, or undefined after `forMs`. */
  runUntil(
    condition: () => boolean,
    forMs: units.Millis,
  ): units.Millis | undefined {
    const startMs = this.nowMs;
    while (this.nowMs - startMs < forMs) {
      if (condition()) return this.nowMs - startMs;
      this.runFor(10);
    }
    return condition() ? this.nowMs - startMs : undefined;
  }

  deliver(node: VirtualControlNode, event: controlContract.ControlEvent): void {
    if (!node.alive) return;
    if (node.pausedUntilMs > this.nowMs) {
      node.backlog.push(event);
      return;
    }
    this.eventCount++;
    const now = {monotonicMs: this.nowMs, epochMs: this.epochMs(node)};
    const actions = node.core.handle(event, now);
    for (const action of actions) this.execute(node, action);
    this.scheduleTick(node);
    this.onEventHandled(node);
  }

  private resume(node: VirtualControlNode): void {
    if (!node.alive) return;
    const backlog = node.backlog;
    node.backlog = [];
    if (this.random.next() < 0.5) this.deliver(node, {kind: 'tick'});
    for (const event of backlog) this.deliver(node, event);
    node.nextTickMs = 0;
    this.scheduleTick(node);
  }

  private scheduleTick(node: VirtualControlNode): void {
    const wakeMs = node.core.nextWakeMs();
    if (wakeMs === undefined || wakeMs === node.nextTickMs) return;
    node.nextTickMs = wakeMs;
    this.after(wakeMs - this.nowMs, () => {
      if (node.nextTickMs === wakeMs) this.deliver(node, {kind: 'tick'});
    });
  }

  private execute(
    node: VirtualControlNode,
    action: controlContract.ControlAction,
  ): void {
    switch (action.kind) {
      case 'send-datagram':
        this.sendDatagram(node, action.nodeId, action.datagram);
        return;
      case 'append':
        this.appendToLog(node, action.record);
        return;
      case 'read-log':
        this.readLog(node, action.from, action.limit, action.waitMs);
        return;
      case 'pull-state':
        this.pullState(node, action.member.nodeId, action.fromOffset);
        return;
      case 'notice':
        node.notices.push({atMs: this.nowMs, notice: action.notice});
        return;
      default:
        invariants.assertNever(action);
    }
  }

  private sendDatagram(
    from: VirtualControlNode,
    to: string,
    datagram: peer.Datagram,
  ): void {
    const bytes = peer.Datagram.encode(datagram).finish();
    this.traffic.datagrams++;
    this.traffic.bytes += bytes.length;
    this.traffic.largest = Math.max(this.traffic.largest, bytes.length);
    if (bytes.length > 1_200) throw new Error(`datagram of ${bytes.length}`);
    const copies = this.random.next() < (this.options.duplication ?? 0) ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      if (this.random.next() < (this.options.loss ?? 0)) continue;
      if (this.isPartitioned(from.member.nodeId, to)) continue;
      this.after(this.randomDelayMs(), () => {
        const node = this.nodes.get(to);
        const received = peer.Datagram.decode(bytes);
        if (node) this.deliver(node, {kind: 'datagram', datagram: received});
      });
    }
  }

  private appendToLog(node: VirtualControlNode, record: peer.LogRecord): void {
    const {recordId} = record;
    const lost = this.random.next() < (this.options.lostAppendAnswers ?? 0);
    const isStored = !lost || this.random.next() < 0.5;
    this.after(this.randomDelayMs(), () => {
      const reached = this.canReachLog(node);
      const offset = reached && isStored ? this.append(record) : undefined;
      this.after(this.randomDelayMs(), () =>
        this.deliver(
          node,
          offset === undefined || lost
            ? {kind: 'append-failed', recordId}
            : {kind: 'appended', recordId, offset},
        ),
      );
    });
  }

  private readLog(
    node: VirtualControlNode,
    from: number,
    limit: number,
    waitMs: units.Millis,
  ): void {
    this.log.reads++;
    let answered = false;
    const answer = (): void => {
      if (answered) return;
      answered = true;
      const page = this.log.page(from, limit);
      const event: controlContract.ControlEvent = this.canReachLog(node)
        ? {kind: 'log-read', from, page}
        : {kind: 'log-read-failed'};
      this.after(this.randomDelayMs(), () => this.deliver(node, event));
    };
    this.after(this.randomDelayMs(), () => {
      if (this.log.hasRecordsFrom(from) || waitMs === 0) answer();
      else this.log.onceAppended(answer);
      this.after(waitMs, answer);
    });
  }

  private pullState(
    node: VirtualControlNode,
    from: string,
    fromOffset: number | undefined,
  ): void {
    this.traffic.pulls++;
    const failed: controlContract.ControlEvent = {
      kind: 'peer-state-failed',
      nodeId: from,
    };
    const isResponsive = (peerNode: VirtualControlNode | undefined): boolean =>
      peerNode !== undefined &&
      peerNode.pausedUntilMs <= this.nowMs &&
      !this.isPartitioned(node.member.nodeId, from);
    this.after(this.randomDelayMs(), () => {
      const other = this.nodes.get(from);
      if (other === undefined || !isResponsive(other)) {
        this.after(200, () => this.deliver(node, failed));
        return;
      }
      const now = {monotonicMs: this.nowMs, epochMs: this.epochMs(other)};
      const text = JSON.stringify(other.core.peerState(fromOffset, now));
      this.traffic.pullBytes += text.length;
      const state = JSON.parse(text) as controlContract.PeerState;
      this.after(this.randomDelayMs(), () =>
        this.deliver(node, {kind: 'peer-state', state}),
      );
    });
  }

  private canReachLog(node: VirtualControlNode): boolean {
    return this.log.reachable && !this.withoutLog.has(node.member.nodeId);
  }

  private randomDelayMs(): units.Millis {
    return 1 + this.random.nextInt(this.options.delayMs ?? 4);
  }
}

/** Members of services of `serviceSize`, distributed round-robin over three data centres. */
export function fleetMembers(
  count: number,
  serviceSize: number,
): readonly peer.Member[] {
  return Array.from({length: count}, (unused, i) => ({
    nodeId: `node-${i}`,
    service: `service-${Math.floor(i / serviceSize)}`,
    dataCentre: ['chaguanas', 'couva', 'freeport'][i % 3],
    region: 'tt-central',
    ip: '127.0.0.1',
    httpPort: 8_080,
    peerPort: 9_000,
    operatorPort: 9_001,
    slots: 12,
    incarnation: 1,
  }));
}
