/** The ports of a node, with their state in the log. */
import * as decision from '../../common/serving/decision.js';
import * as generated from '../../generated/node_settings.js';
import * as portOpening from '../port_opening.js';
import * as resourceStack from '../resource_stack.js';
import * as tcpListener from '../tcp_listener.js';
import * as address from './address.js';
import * as simpleHttpServer from './simple_http_server.js';

/** Name of a port in the settings. */
type PortName = Exclude<keyof generated.NodeSettings['listen'], 'advertised'>;

/** Opens a port. */
type Open = (listenAddress: tcpListener.ListenAddress) => Promise<void>;

/** What serves each port. */
export interface NodePortsOptions {
  readonly listen: generated.NodeSettings['listen'];
  /** Most connections at a time to each port that the node serves itself. */
  readonly maxConnections: number;
  readonly log: decision.DecisionLog;
  readonly callers: Open;
  readonly peers: Open;
  readonly announcements: simpleHttpServer.SimpleHandler;
  readonly readiness: simpleHttpServer.SimpleHandler;
  readonly metrics: simpleHttpServer.SimpleHandler;
}

/** Opens the ports of a node; disposing it closes those that it serves itself. */
export class NodePorts implements AsyncDisposable {
  private readonly servers = new resourceStack.ResourceStack();
  private opened = false;

  constructor(private readonly options: NodePortsOptions) {}

  /** Whether all ports but that of the metrics are open. */
  get isOpen(): boolean {
    return this.opened;
  }

  /**
   * Opens the port for peers once the others are open that requests depend on; resolves then.
   *
   * @throws errors.GeraniumloftError that names the port if one stays taken or cannot be opened.
   */
  async open(): Promise<void> {
    const {callers, peers, listen} = this.options;
    if (listen.metrics !== undefined) this.openMetrics(listen.metrics);
    await Promise.all([
      this.serve('readiness', this.options.readiness),
      this.serve('announcements', this.options.announcements),
      callers(this.portOf('callers', listen.callers)),
    ]);
    // Last: nothing runs here before other nodes reach this one, so a stop may end the wait.
    await peers(this.portOf('peers', listen.peers));
    this.opened = true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.servers[Symbol.asyncDispose]();
  }

  private async serve(
    name: 'announcements' | 'readiness',
    handler: simpleHttpServer.SimpleHandler,
  ): Promise<void> {
    const server = this.makeServer(name, handler);
    await server.listen(this.portOf(name, this.options.listen[name]));
  }

  /** Opens the port of the metrics, whenever that may be: no request depends on it. */
  private openMetrics(listenAddress: string): void {
    const port = this.portOf('metrics', listenAddress);
    const server = this.makeServer('metrics', this.options.metrics);
    server.listen({...port, openTimeoutMs: Infinity}).catch(() => {
      // The node was disposed.
    });
  }

  private makeServer(
    port: PortName,
    handler: simpleHttpServer.SimpleHandler,
  ): simpleHttpServer.SimpleHttpServer {
    const {log, maxConnections} = this.options;
    const onClosed = (reason: string): void =>
      decision.noteStateChange(log, 'node', 'connection-closed', {
        port,
        reason,
      });
    return this.servers.use(
      new simpleHttpServer.SimpleHttpServer(handler, {
        maxConnections,
        onClosed,
      }),
    );
  }

  private portOf(
    name: PortName,
    listenAddress: string,
  ): tcpListener.ListenAddress {
    const parsed = address.parseAddress(listenAddress);
    return {...parsed, portName: name, observer: this.observerOf(name)};
  }

  private observerOf(port: PortName): portOpening.PortObserver {
    const note = (
      event: string,
      at: portOpening.PortAddress,
      facts: decision.Facts,
    ): void =>
      decision.noteStateChange(this.options.log, 'node', event, {
        port,
        address: `${at.ip}:${at.port}`,
        ...facts,
      });
    return {
      onWaiting: (at, code) => note('listen-waiting', at, {code}),
      onOpened: (at, waitedMs) => note('listen-open', at, {waitedMs}),
      onError: (at, code) => note('listen-error', at, {code}),
    };
  }
}
