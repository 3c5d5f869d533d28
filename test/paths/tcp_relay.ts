/** A TCP relay between two processes that can cut or silence its connections. */
import * as net from 'node:net';

/** Relays connections to a port of 127.0.0.1. */
export class TcpRelay implements AsyncDisposable {
  private readonly server: net.Server;
  private pairs: ReadonlyArray<readonly [net.Socket, net.Socket]> = [];
  private refusing = false;

  private constructor(targetPort: number) {
    this.server = net.createServer(socket => this.accept(socket, targetPort));
  }

  /** Starts a relay on `port`; 0 chooses a free one. */
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

  /** Ends all connections; later ones are ended too while `refusing`. */
  cut(refusing = false): void {
    this.refusing = refusing;
    for (const [a, b] of this.pairs) {
      a.destroy();
      b.destroy();
    }
    this.pairs = [];
  }

  /** Drops whatever the present connections carry; later ones work. */
  silence(): void {
    for (const [a, b] of this.pairs) {
      a.unpipe(b).resume();
      b.unpipe(a).resume();
    }
  }

  private accept(socket: net.Socket, targetPort: number): void {
    if (this.refusing) {
      socket.destroy();
      return;
    }
    const target = net.connect(targetPort, '127.0.0.1');
    this.pairs = [...this.pairs, [socket, target]];
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
