/** Assembles a node from its parts; disposing it releases all of them. */
import * as most from 'most';

import * as counters from '../common/counters.js';
import * as invariants from '../common/invariants.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as generated from '../generated/settings.js';
import * as clock from './clock.js';
import * as controlActions from './control_actions.js';
import * as entryActions from './entry_actions.js';
import * as eventLoop from './event_loop.js';
import * as eventSource from './event_source.js';
import * as gateActions from './gate_actions.js';
import * as logger from './logger.js';
import * as nodeCores from './node_cores.js';
import * as nodeEvent from './node_event.js';
import * as nodeSockets from './node_sockets.js';
import * as nodeStatus from './node_status.js';
import * as operatorServer from './operator_server.js';
import * as plannedStop from './planned_stop.js';
import * as portLog from './port_log.js';
import * as resourceStack from './resource_stack.js';
import * as serverState from './server_state.js';
import * as signal from './signal.js';

/** Time left for requests in flight after a second stop request. */
const SHORTENED_STOP_TIMEOUT_MS: units.Millis = 2_000;

/** Counters that can be listed. */
export interface ListedCounters extends counters.Counters {
  snapshot(): Readonly<Record<string, number>>;
}

/** Settings, counters and logger of a node. */
export interface DaemonOptions {
  readonly settings: generated.Settings;
  readonly count: ListedCounters;
  readonly log: logger.Logger;
}

/** Parts of a running node. */
interface Parts {
  readonly self: peer.Member;
  readonly cores: nodeCores.Cores;
  readonly sockets: nodeSockets.NodeSockets;
  readonly server: serverState.ServerState;
  readonly commands: eventSource.EventSource<nodeEvent.NodeEvent>;
}

/** A running node. */
export class Daemon implements AsyncDisposable {
  private readonly gateDrained = new signal.Signal();
  private readonly leavingConfirmed = new signal.Signal();
  private readonly plannedStop: plannedStop.PlannedStop;

  private constructor(
    private readonly options: DaemonOptions,
    private readonly parts: Parts,
    private readonly resources: resourceStack.ResourceStack,
  ) {
    this.plannedStop = new plannedStop.PlannedStop(
      this.stopSteps(),
      options.settings.stopTimeoutMs,
      SHORTENED_STOP_TIMEOUT_MS,
      options.log,
    );
  }

  /** Starts a node; resolves once it listens on all its ports. */
  static async start(options: DaemonOptions): Promise<Daemon> {
    const resources = new resourceStack.ResourceStack();
    try {
      const parts = await makeParts(options, resources);
      const daemon = new Daemon(options, parts, resources);
      await daemon.open();
      return daemon;
    } catch (err) {
      await resources[Symbol.asyncDispose]();
      throw err;
    }
  }

  /** Leaves the fleet; resolves when the process may exit. A second call shortens the wait. */
  stop(): Promise<void> {
    return this.plannedStop.request();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  private async open(): Promise<void> {
    const {settings, count} = this.options;
    const {sockets, commands} = this.parts;
    const loop = this.resources.use(this.makeLoop());
    const events: ReadonlyArray<most.Stream<nodeEvent.NodeEvent>> = [
      commands.stream,
      sockets.http.events,
      sockets.links.events,
      sockets.connections.events,
      sockets.datagrams.events,
      sockets.remote.events,
    ];
    loop.observe(most.mergeArray([...events]));
    const {ip, ports, peerSources} = settings;
    const server = await operatorServer.OperatorServer.listen({
      ip,
      port: ports.operator,
      portName: 'operators',
      observer: portLog.portLog('operators', this.options),
      peerSources,
      service: new nodeStatus.NodeStatusService(this.statusSources()),
      counters: count,
    });
    this.resources.use(server);
    // After the port for operators, as a stop ends the wait for a port at once.
    await nodeSockets.listen(sockets);
    commands.emit({kind: 'tick'});
  }

  private makeLoop(): eventLoop.EventLoop {
    const {count, log} = this.options;
    const {self, cores, sockets, server} = this.parts;
    const {http, links, connections, datagrams, remote} = sockets;
    const view = cores.control;
    return new eventLoop.EventLoop({
      cores,
      view,
      links,
      server,
      count,
      log,
      entryActions: new entryActions.EntryActions(
        self.nodeId,
        view,
        links,
        http,
      ),
      gateActions: new gateActions.GateActions({
        identity: {nodeId: self.nodeId, incarnation: self.incarnation},
        view,
        links,
        connections,
        datagrams,
        onDrained: () => this.gateDrained.raise(),
      }),
      controlActions: new controlActions.ControlActions(
        datagrams,
        remote,
        log,
        () => this.leavingConfirmed.raise(),
      ),
    });
  }

  private statusSources(): nodeStatus.StatusSources {
    const {settings, count} = this.options;
    const {cores, server} = this.parts;
    return {
      settings,
      view: cores.control,
      server,
      load: () => cores.gate.loadReport(),
      counters: () => count.snapshot(),
      explain: service => cores.entry.explain(service, clock.now()),
      peerState: fromOffset => cores.control.peerState(fromOffset, clock.now()),
    };
  }

  private stopSteps(): plannedStop.StopSteps {
    const {sockets, commands, cores} = this.parts;
    return {
      begin: () => commands.emit({kind: 'stop'}),
      untilLeft: async () => {
        await Promise.all([
          this.gateDrained.raised,
          this.leavingConfirmed.raised,
        ]);
      },
      announceClosing: () => sockets.http.announceClosing(),
      untilCallersServed: () => sockets.http.waitUntilIdle(),
      describeInFlight: () => {
        const {inFlight, queued} = cores.gate.loadReport();
        const {inProgress} = sockets.http;
        return (
          `${inProgress} callers wait, ` +
          `${inFlight} requests run and ${queued} wait at the gate`
        );
      },
    };
  }
}

async function makeParts(
  options: DaemonOptions,
  resources: resourceStack.ResourceStack,
): Promise<Parts> {
  const {settings, count, log} = options;
  const checks = resources.use(new invariants.Invariants(count));
  checks.onBreach(breach =>
    log.error(`invariant: ${breach.step} (${breach.peer}): ${breach.message}`),
  );
  const self = nodeCores.ownMember(settings, Date.now());
  const cores = nodeCores.buildCores(settings, self, count, checks);
  const sockets = await nodeSockets.makeSockets(
    settings,
    {nodeId: self.nodeId, incarnation: self.incarnation},
    cores.control,
    {count, log},
    resources,
  );
  const commands = resources.use(
    new eventSource.EventSource<nodeEvent.NodeEvent>(),
  );
  const server = new serverState.ServerState(
    settings.slots,
    sockets.connections,
    log,
  );
  return {self, cores, sockets, server, commands};
}
