/** TCP relay on loopback that injects network faults. */
import * as net from 'node:net';

/** Fault that the relay injects. */
export type RelayMode =
  | {readonly kind: 'pass'}
  | {readonly kind: 'delay'; readonly delayMs: number}
  /** Passes at most so many bytes on in each direction, and reads no faster. */
  | {readonly kind: 'rate'; readonly bytesPerMs: number}
  /** Drops bytes to the target (`forward`), from it (`reverse`) or both, on new connections too. */
  | {readonly kind: 'drop'; readonly direction: 'forward' | 'reverse' | 'both'}
  /** Resets new connections. */
  | {readonly kind: 'refuse'};

class RelayedConnection {
  /** Bytes are dropped for the rest of the connection, whatever the mode. */
  silenced = false;

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
  private isHeld = false;
  private readonly server = net.createServer(incoming => this.accept(incoming));

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
      this.relay(connection, chunk, incoming, outgoing, 'forward'),
    );
    outgoing.on('data', chunk =>
      this.relay(connection, chunk, outgoing, incoming, 'reverse'),
    );
    incoming.on('close', () => this.closeOther(connection, outgoing));
    outgoing.on('close', () => this.closeOther(connection, incoming));
    if (this.isHeld) connection.pause();
  }

  /** Closes the other side of a connection; at a limited rate, once it has got what is held. */
  private closeOther(connection: RelayedConnection, other: net.Socket): void {
    if (this.mode.kind === 'rate' && !other.destroyed) {
      other.destroySoon();
      return;
    }
    this.connections.delete(connection);
    other.destroy();
  }

  private relay(
    connection: RelayedConnection,
    chunk: Buffer,
    from: net.Socket,
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
      case 'rate':
        from.pause();
        setTimeout(() => from.resume(), chunk.length / mode.bytesPerMs);
        break;
      case 'pass':
      case 'refuse':
        break;
    }
    to.write(chunk);
  }
}
