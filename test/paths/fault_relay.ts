/** TCP relay on loopback that injects network faults. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

/** Fault that the relay injects. */
export type RelayMode =
  | {readonly kind: 'pass'}
  | {readonly kind: 'delay'; readonly delayMs: number}
  /** Drops bytes to the target (`forward`), from it (`reverse`) or both, on new connections too. */
  | {readonly kind: 'drop'; readonly direction: 'forward' | 'reverse' | 'both'}
  /** Resets new connections. */
  | {readonly kind: 'refuse'};

class RelayedConnection {
  /** Bytes are dropped for the rest of the connection, whatever the mode. */
  silenced = false;
  /** Resolves when the bytes that a limited rate holds back have been written. */
  readonly written = {forward: Promise.resolve(), reverse: Promise.resolve()};

  constructor(
    readonly incoming: net.Socket,
    readonly outgoing: net.Socket,
  ) {}

  pause(): void {
    this.incoming.pause();
    this.outgoing.pause();
  }

  resume(): void {
    this.incoming.resume();
    this.outgoing.resume();
  }
}

/** Relays TCP connections to one port of 127.0.0.1. */
export class FaultRelay implements AsyncDisposable {
  mode: RelayMode = {kind: 'pass'};
  private readonly connections = new Set<RelayedConnection>();
  private readonly server = net.createServer(incoming => this.accept(incoming));
  private isHeld = false;
  private bytesPerSecond = Infinity;
  /** Time at which each direction has passed on what it holds. */
  private readonly freeMs = {forward: 0, reverse: 0};

  constructor(private readonly toPort: number) {}

  /** Listens on a free port and returns its address as `IP:PORT`. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as net.AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Port on which the relay listens. */
  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Resets all open connections; new ones follow the mode. */
  reset(): void {
    for (const {incoming} of this.connections) incoming.resetAndDestroy();
  }

  /** Holds back all bytes, and the ends of connections, until `release`; loses none. */
  hold(): void {
    this.isHeld = true;
    for (const connection of this.connections) connection.pause();
  }

  /** Passes on what `hold` has held back. */
  release(): void {
    this.isHeld = false;
    for (const connection of this.connections) connection.resume();
  }

  /** Drops all further bytes on the open connections; new ones follow the mode. */
  silence(): void {
    for (const connection of this.connections) connection.silenced = true;
  }

  /** Limits the rate of each direction, over all connections; Infinity for no limit. */
  limitRate(bytesPerSecond: number): void {
    this.bytesPerSecond = bytesPerSecond;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    for (const {incoming, outgoing} of this.connections) {
      incoming.destroy();
      outgoing.destroy();
    }
    await closed;
  }

  private accept(incoming: net.Socket): void {
    incoming.on('error', () => undefined);
    if (this.mode.kind === 'refuse') {
      incoming.resetAndDestroy();
      return;
    }
    const outgoing = net.connect(this.toPort, '127.0.0.1');
    outgoing.on('error', () => undefined);
    const connection = new RelayedConnection(incoming, outgoing);
    this.connections.add(connection);
    incoming.on('data', chunk =>
      this.relay(connection, chunk, outgoing, 'forward'),
    );
    outgoing.on('data', chunk =>
      this.relay(connection, chunk, incoming, 'reverse'),
    );
    incoming.on('close', hadError =>
      this.close(connection, 'forward', hadError),
    );
    outgoing.on('close', hadError =>
      this.close(connection, 'reverse', hadError),
    );
    if (this.isHeld) connection.pause();
  }

  /** Closes the receiving side of a direction, after the bytes that are on their way to it. */
  private close(
    connection: RelayedConnection,
    direction: 'forward' | 'reverse',
    hadError: boolean,
  ): void {
    const {incoming, outgoing, written} = connection;
    const to = direction === 'forward' ? outgoing : incoming;
    if (to.destroyed) this.connections.delete(connection);
    else if (hadError) to.destroy();
    else void written[direction].then(() => to.destroySoon());
  }

  private relay(
    connection: RelayedConnection,
    chunk: Buffer,
    to: net.Socket,
    direction: 'forward' | 'reverse',
  ): void {
    const {mode} = this;
    if (connection.silenced) return;
    switch (mode.kind) {
      case 'drop':
        if (mode.direction === 'both' || mode.direction === direction) {
          connection.silenced = true;
          return;
        }
        break;
      case 'delay':
        setTimeout(() => to.write(chunk), mode.delayMs);
        return;
      case 'pass':
      case 'refuse':
        break;
    }
    if (this.bytesPerSecond === Infinity) to.write(chunk);
    else this.writeAtRate(connection, chunk, to, direction);
  }

  /** Passes a chunk on when the link has room; its sender waits meanwhile. */
  private writeAtRate(
    {incoming, outgoing, written}: RelayedConnection,
    chunk: Buffer,
    to: net.Socket,
    direction: 'forward' | 'reverse',
  ): void {
    const from = direction === 'forward' ? incoming : outgoing;
    const nowMs = performance.now();
    const startMs = Math.max(nowMs, this.freeMs[direction]);
    const endMs = startMs + (chunk.length / this.bytesPerSecond) * 1_000;
    this.freeMs[direction] = endMs;
    from.pause();
    written[direction] = timers.setTimeout(endMs - nowMs).then(() => {
      if (to.write(chunk)) from.resume();
      else to.once('drain', () => from.resume());
    });
  }
}
