/** Clients that keep to no limits, on raw connections to one port. */
import * as net from 'node:net';

/** What a client of a crowd does once it is connected. */
export type ClientAction = (socket: net.Socket) => void;

/** Connections to one port, not read unless their action does so; disposing it resets them. */
export class ClientCrowd implements Disposable {
  private readonly sockets: net.Socket[] = [];

  /** @param address ip:port of the process. */
  constructor(private readonly address: string) {}

  /** Number of connections that the process has not closed. */
  get open(): number {
    return this.sockets.filter(socket => !socket.destroyed).length;
  }

  /** Opens connections; resolves once each is connected or refused. */
  async add(count: number, act: ClientAction): Promise<void> {
    await Promise.all(Array.from({length: count}, () => this.connect(act)));
  }

  [Symbol.dispose](): void {
    for (const socket of this.sockets.splice(0)) socket.resetAndDestroy();
  }

  private connect(act: ClientAction): Promise<void> {
    const [host, port] = this.address.split(':');
    const socket = new net.Socket();
    this.sockets.push(socket);
    // A paused socket reads nothing, so that the process cannot write.
    socket.pause();
    socket.on('error', () => undefined);
    return new Promise(resolve => {
      socket.once('close', () => resolve());
      socket.connect({host, port: Number(port)}, () => {
        act(socket);
        resolve();
      });
    });
  }
}

/** Writes a piece again and again, as fast as the other end reads. */
export function writeWithoutEnd(socket: net.Socket, piece: Uint8Array): void {
  const write = (): void => {
    while (!socket.destroyed && socket.write(piece));
  };
  socket.on('drain', write);
  write();
}
