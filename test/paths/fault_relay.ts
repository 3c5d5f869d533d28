/** A relay on loopback that harms the connections that it carries. */
import * as net from 'node:net';

/** What happens to bytes on their way. */
export type RelayMode =
  | {readonly kind: 'pass'}
  | {readonly kind: 'delay'; readonly delayMs: number}
  /** Bytes are swallowed, in one direction or both; also on new connections. */
  | {readonly kind: 'swallow'; readonly direction: 'there' | 'back' | 'both'}
  /** New connections are reset. */
  | {readonly kind: 'refuse'};

class Pair {
  /** Once silenced, a connection stays so whatever the mode. */
  muted = false;

  constructor(
    readonly near: net.Socket,
    readonly far: net.Socket,
  ) {}
}

/** Carries TCP connections to one port. */
export class FaultRelay implements AsyncDisposable {
  mode: RelayMode = {kind: 'pass'};
  private readonly pairs = new Set<Pair>();
  private readonly server = net.createServer(near => this.accept(near));

  constructor(private readonly toPort: number) {}

  /** Listens on a free port and returns the address. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as net.AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Resets the open connections. */
  reset(): void {
    for (const {near} of this.pairs) near.resetAndDestroy();
  }

  /** Silences the open connections for good; new ones work. */
  silence(): void {
    for (const pair of this.pairs) pair.muted = true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    for (const {near, far} of this.pairs) {
      near.destroy();
      far.destroy();
    }
    await closed;
  }

  private accept(near: net.Socket): void {
    near.on('error', () => undefined);
    if (this.mode.kind === 'refuse') {
      near.resetAndDestroy();
      return;
    }
    const far = net.connect(this.toPort, '127.0.0.1');
    far.on('error', () => undefined);
    const pair = new Pair(near, far);
    this.pairs.add(pair);
    near.on('data', chunk => this.carry(pair, chunk, far, 'there'));
    far.on('data', chunk => this.carry(pair, chunk, near, 'back'));
    const end = (): void => {
      this.pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    near.on('close', end);
    far.on('close', end);
  }

  private carry(
    pair: Pair,
    chunk: Buffer,
    to: net.Socket,
    direction: 'there' | 'back',
  ): void {
    const {mode} = this;
    if (pair.muted) return;
    switch (mode.kind) {
      case 'swallow':
        if (mode.direction === 'both' || mode.direction === direction) {
          pair.muted = true;
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
    to.write(chunk);
  }
}
