/** A fleet of nodes that run the real cores in virtual time, with fault injection. */
import * as generated from '../../src/generated/configuration.js';
import * as settings from '../../src/generated/settings.js';
import * as peer from '../../src/generated/peer.js';
import * as configurationInForce from '../../src/common/configuration/configuration_in_force.js';
import * as fleetView from '../../src/common/control/fleet_view.js';
import * as counters from '../../src/common/counters.js';
import * as invariants from '../../src/common/invariants.js';
import * as randomSource from '../../src/common/random_source.js';
import * as units from '../../src/common/units.js';
import * as virtualServiceClock from './virtual_service_clock.js';
import * as virtualServiceNetwork from './virtual_service_network.js';
import * as virtualServiceNode from './virtual_service_node.js';
import * as virtualServiceServer from './virtual_service_server.js';
import * as virtualServiceView from './virtual_service_view.js';

/** A node of a fleet; one without `medianMs` has no backend server and is an entry only. */
export interface NodeShape {
  readonly nodeId: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly slots: number;
  /** Median service time of the backend server. */
  readonly medianMs?: units.Millis;
}

/** Nodes, configuration and network of a fleet at its start. */
export interface FleetShape {
  readonly nodes: readonly NodeShape[];
  readonly configuration: generated.Configuration;
  readonly network: virtualServiceNetwork.NetworkOptions;
  /** Longest time until a node applies a change of the configuration or of the members. */
  readonly propagationMs: units.Millis;
}

/** Dependencies of the cores of a node. */
export interface CoreContext {
  readonly member: peer.Member;
  readonly hasServer: boolean;
  readonly selector: settings.Settings['selector'];
  readonly view: virtualServiceView.VirtualView;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
  readonly random: randomSource.RandomSource;
}

/** Builds the cores of a node, at its start and at each restart. */
export type CoreFactory = (ctx: CoreContext) => virtualServiceNode.NodeCores;

/** Receives events of the fleet, for audits and records. */
export interface FleetObserver {
  onDispatch(
    node: virtualServiceNode.VirtualNode,
    call: peer.CallRequest,
  ): void;
  onRun(node: virtualServiceNode.VirtualNode, call: peer.CallRequest): void;
  /** `call` is the request that crashed the server, if one did. */
  onServerDeath(
    node: virtualServiceNode.VirtualNode,
    call: peer.CallRequest | undefined,
  ): void;
  onCoreError(node: virtualServiceNode.VirtualNode, err: unknown): void;
}

/** Options of a VirtualFleet; a seed determines the whole run. */
export interface FleetOptions {
  readonly shape: FleetShape;
  readonly seed: number;
  readonly selector: settings.Settings['selector'];
  readonly cores: CoreFactory;
  readonly observer: FleetObserver;
}

/** Longest time until a node learns that another died or restarted. */
const LIVENESS_PROPAGATION_MS = 1_000;
/** Longest time until a report of a suspect request reaches another node. */
const SUSPECT_PROPAGATION_MS = 500;
/** One datagram in this many is encoded to learn its size. */
const DATAGRAMS_PER_SIZE_SAMPLE = 64;
/** Time from a crash of a backend server to its restart. */
const SERVER_RESTART_DELAY_MS = 500;

/** Runs a fleet on a virtual clock; all randomness comes from its seed. */
export class VirtualFleet implements virtualServiceNode.NodeEnvironment {
  readonly clock = new virtualServiceClock.VirtualClock();
  readonly counters = new counters.MemoryCounters();
  readonly random: randomSource.RandomSource;
  readonly network: virtualServiceNetwork.VirtualNetwork;
  readonly nodes: readonly virtualServiceNode.VirtualNode[];
  /** Estimated bytes of all datagrams, each counted with the size of the last one sampled. */
  datagramBytes = 0;
  /** Ids of nodes whose planned stop is complete. */
  readonly drained = new Set<string>();

  private readonly byId: ReadonlyMap<string, virtualServiceNode.VirtualNode>;
  private readonly invariants: invariants.Invariants;
  private state: virtualServiceView.ViewState;
  private requestCount = 0;
  private datagramSize = 0;
  private datagramCount = 0;
  private incarnation = 1;

  constructor(private readonly options: FleetOptions) {
    const {shape, seed} = options;
    this.random = new randomSource.SeededRandom(seed);
    this.invariants = new invariants.Invariants(this.counters);
    this.network = new virtualServiceNetwork.VirtualNetwork(
      this.clock,
      this.random,
      shape.network,
    );
    const members = shape.nodes.map(n => ({
      shape: n,
      member: this.memberOf(n),
    }));
    this.state = new virtualServiceView.ViewState(
      1,
      1,
      new configurationInForce.ConfigurationInForce(1, shape.configuration),
      members
        .filter(m => m.shape.medianMs !== undefined)
        .map(m => joinedMember(m.member)),
    );
    this.nodes = members.map(m => this.buildNode(m.shape, m.member));
    this.byId = new Map(this.nodes.map(n => [n.nodeId, n]));
    for (const n of this.nodes) this.startNode(n);
  }

  node(nodeId: string): virtualServiceNode.VirtualNode | undefined {
    return this.byId.get(nodeId);
  }

  /** Nodes with a backend server of `service`. */
  serversOf(service: string): readonly virtualServiceNode.VirtualNode[] {
    return this.nodes.filter(
      n => n.server !== undefined && n.member.service === service,
    );
  }

  /** Returns a request id that is unique in the fleet. */
  nextRequestId(): string {
    return `r${++this.requestCount}`;
  }

  /** Changes the configuration; each node applies it after a random delay. */
  configure(
    change: (cfg: generated.Configuration) => generated.Configuration,
  ): void {
    const cfg = this.state.configuration;
    const next = new configurationInForce.ConfigurationInForce(
      cfg.revision + 1,
      change(cfg.document),
    );
    this.propagate(next, this.state.members, this.options.shape.propagationMs);
  }

  /** Takes a data centre out with an exception in the configuration, as an operator does. */
  takeDataCentreOut(dataCentre: string): void {
    const exception: generated.DataCentreOut = {
      id: `out-${dataCentre}`,
      kind: 'data-centre-out',
      dataCentre,
      reason: 'work on the power supply',
      author: 'operator',
      timeMs: 0,
    };
    this.configure(cfg => ({
      ...cfg,
      exceptions: [...cfg.exceptions, exception],
    }));
  }

  /** Removes the exception that took a data centre out. */
  returnDataCentre(dataCentre: string): void {
    this.configure(cfg => ({
      ...cfg,
      exceptions: cfg.exceptions.filter(
        e => e.kind !== 'data-centre-out' || e.dataCentre !== dataCentre,
      ),
    }));
  }

  /** Starts the planned stop of a node; its roster record propagates as configuration does. */
  stop(n: virtualServiceNode.VirtualNode): void {
    this.changeMember(
      n,
      m => ({...m, roster: 'leaving'}),
      this.options.shape.propagationMs,
    );
    n.sendToGate({kind: 'stop'});
  }

  /** Kills the backend server of a node; it restarts cold after SERVER_RESTART_MS. */
  crashServer(n: virtualServiceNode.VirtualNode): void {
    if (n.server!.isUp) n.crashServer();
  }

  /** Kills a node together with its backend server and restarts both after `downMs`. */
  crashNode(
    n: virtualServiceNode.VirtualNode,
    downMs: units.Millis,
    warmUpMs: units.Millis,
  ): void {
    n.server?.crash();
    n.kill();
    this.setLiveness(n, peer.LivenessState.DEAD);
    this.clock.after(downMs, () => this.restartNode(n, warmUpMs));
  }

  onServerDeath(
    n: virtualServiceNode.VirtualNode,
    cause: peer.CallRequest | undefined,
  ): void {
    this.options.observer.onServerDeath(n, cause);
    this.clock.after(SERVER_RESTART_DELAY_MS, () =>
      this.restartServer(n, this.warmUpMs),
    );
  }

  /** Time over which a restarted backend server warms up. */
  warmUpMs = 4_000;

  /** Reports of suspect requests; a restarting node gets them as part of the state it pulls. */
  private readonly reports: peer.SuspectReport[] = [];

  onSuspect(
    from: virtualServiceNode.VirtualNode,
    report: peer.SuspectReport,
  ): void {
    this.reports.push(report);
    for (const n of this.nodes) {
      if (n === from) continue;
      const delayMs = SUSPECT_PROPAGATION_MS * this.random.next();
      this.clock.after(delayMs, () => n.sendToGate({kind: 'suspect', report}));
    }
  }

  onDrained(n: virtualServiceNode.VirtualNode): void {
    this.drained.add(n.nodeId);
  }

  onDispatch(n: virtualServiceNode.VirtualNode, call: peer.CallRequest): void {
    this.options.observer.onDispatch(n, call);
  }

  onRun(n: virtualServiceNode.VirtualNode, call: peer.CallRequest): void {
    this.options.observer.onRun(n, call);
  }

  onCoreError(n: virtualServiceNode.VirtualNode, err: unknown): void {
    this.options.observer.onCoreError(n, err);
  }

  onDatagramSent(datagram: peer.Datagram): void {
    if (this.datagramCount++ % DATAGRAMS_PER_SIZE_SAMPLE === 0) {
      this.datagramSize = peer.Datagram.encode(datagram).finish().length;
    }
    this.datagramBytes += this.datagramSize;
  }

  /** Restarts a backend server cold and announces it to its gate. */
  restartServer(
    n: virtualServiceNode.VirtualNode,
    warmUpMs: units.Millis,
  ): void {
    n.server!.restart(warmUpMs);
    n.sendToGate({
      kind: 'server-state',
      state: 'starting',
      slots: n.member.slots,
    });
    n.sendToGate({
      kind: 'server-state',
      state: 'ready',
      slots: n.member.slots,
    });
  }

  private restartNode(
    n: virtualServiceNode.VirtualNode,
    warmUpMs: units.Millis,
  ): void {
    n.server?.restart(warmUpMs);
    this.incarnation++;
    const incarnation = this.incarnation;
    this.changeMember(
      n,
      m => ({...m, member: {...m.member, incarnation}}),
      LIVENESS_PROPAGATION_MS,
    );
    this.setLiveness(n, peer.LivenessState.ALIVE);
    this.startNode(n, incarnation);
    for (const report of this.reports) n.sendToGate({kind: 'suspect', report});
  }

  private startNode(n: virtualServiceNode.VirtualNode, incarnation = 1): void {
    n.view.adopt(this.state);
    const member = {...n.member, incarnation};
    n.start(this.options.cores(this.contextOf(n, member)));
    n.sendToGate({
      kind: 'server-state',
      state: 'ready',
      slots: member.slots,
    });
  }

  private contextOf(
    n: virtualServiceNode.VirtualNode,
    member: peer.Member,
  ): CoreContext {
    return {
      member,
      hasServer: n.server !== undefined,
      selector: this.options.selector,
      view: n.view,
      counters: this.counters,
      invariants: this.invariants,
      random: new randomSource.SeededRandom(this.random.nextInt(2 ** 31)),
    };
  }

  private setLiveness(
    n: virtualServiceNode.VirtualNode,
    liveness: peer.LivenessState,
  ): void {
    this.changeMember(n, m => ({...m, liveness}), LIVENESS_PROPAGATION_MS);
  }

  private changeMember(
    n: virtualServiceNode.VirtualNode,
    change: (m: fleetView.MemberView) => fleetView.MemberView,
    spreadMs: units.Millis,
  ): void {
    const members = this.state.members.map(m =>
      m.member.nodeId === n.nodeId ? change(m) : m,
    );
    this.propagate(this.state.configuration, members, spreadMs);
  }

  private propagate(
    cfg: configurationInForce.ConfigurationInForce,
    members: readonly fleetView.MemberView[],
    spreadMs: units.Millis,
  ): void {
    const state = new virtualServiceView.ViewState(
      this.state.version + 1,
      this.state.rosterOffset + (members === this.state.members ? 0 : 1),
      cfg,
      members,
    );
    this.state = state;
    for (const n of this.nodes) {
      this.clock.after(spreadMs * this.random.next(), () =>
        n.view.adopt(state),
      );
    }
  }

  private buildNode(
    shape: NodeShape,
    member: peer.Member,
  ): virtualServiceNode.VirtualNode {
    const server =
      shape.medianMs === undefined
        ? undefined
        : new virtualServiceServer.VirtualServer(
            {slots: shape.slots, medianMs: shape.medianMs},
            this.clock,
            new randomSource.SeededRandom(this.random.nextInt(2 ** 31)),
          );
    return new virtualServiceNode.VirtualNode(
      member,
      new virtualServiceView.VirtualView(this.state),
      server,
      this,
    );
  }

  private memberOf(shape: NodeShape): peer.Member {
    return {
      nodeId: shape.nodeId,
      service: shape.service,
      dataCentre: shape.dataCentre,
      region: shape.region,
      ip: '127.0.0.1',
      httpPort: 0,
      peerPort: 0,
      operatorPort: 0,
      slots: shape.slots,
      incarnation: 1,
    };
  }
}

function joinedMember(member: peer.Member): fleetView.MemberView {
  return {
    member,
    roster: 'joined',
    liveness: peer.LivenessState.ALIVE,
    provisional: false,
  };
}
