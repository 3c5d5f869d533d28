/** TCP relay on loopback that can close its connections or drop their bytes. */
import * as net from 'node:net';

/** Relays connections to a port of 127.0.0.1. */
export class TcpRelay implements AsyncDisposable {
  private readonly server: net.Server;
  private connections: ReadonlyArray<readonly [net.Socket, net.Socket]> = [];
  private refusing = false;

  private constructor(targetPort: number) {
    this.server = net.createServer(socket => this.accept(socket, targetPort));
  }

  /** Starts a relay on `port`; 0 selects a free port. */
  static async start(targetPort: number, port = 0): Promise<TcpRelay> {
    const relay = new TcpRelay(targetPort);
    await new Promise<void>(resolve =>
      relay.server.listen(port, '127.0.0.1', resolve),
    );
    return relay;
  }

  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Closes all connections; if `refusing`, later ones are closed at once until the next call. */
  cut(refusing = false): void {
    this.refusing = refusing;
    for (const [a, b] of this.connections) {
      a.destroy();
      b.destroy();
    }
    this.connections = [];
  }

  /** Drops all further bytes on the open connections; later ones work. */
  silence(): void {
    for (const [a, b] of this.connections) {
      a.unpipe(b).resume();
      b.unpipe(a).resume();
    }
  }

  /** Holds back all bytes on the open connections until `release` is called. */
  hold(): void {
    for (const [a, b] of this.connections) {
      a.unpipe(b).pause();
      b.unpipe(a).pause();
    }
  }

  /** Delivers the bytes that `hold` held back. */
  release(): void {
    for (const [a, b] of this.connections) {
      a.pipe(b);
      b.pipe(a);
    }
  }

  private accept(socket: net.Socket, targetPort: number): void {
    if (this.refusing) {
      socket.destroy();
      return;
    }
    const target = net.connect(targetPort, '127.0.0.1');
    this.connections = [...this.connections, [socket, target]];
    for (const [from, to] of [
      [socket, target],
      [target, socket],
    ] as const) {
      from.on('error', () => to.destroy());
      from.pipe(to);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.cut(true);
    await closed;
  }
}
