/** Opens connections to a backend server and counts what they deliver. */
import type * as net from 'node:net';

import * as undici from 'undici';

import * as units from '../../common/units.js';

/**
 * Connects like undici's own connector, and sees bytes that the HTTP parser reads without passing
 * them on or limiting them: status lines, chunk extensions, heads of many lines.
 */
export class WatchedConnector {
  private readonly connector: undici.buildConnector.connector;
  private socket: net.Socket | undefined;
  private error: Error | undefined;
  private startBytes = 0;
  private answers = 0;

  /**
   * @param timeoutMs timeout of opening a connection.
   * @param onRead called with the bytes of the current answer whenever some have arrived.
   */
  constructor(
    timeoutMs: units.Millis,
    private readonly onRead: (bytes: number) => void,
  ) {
    this.connector = undici.buildConnector({timeout: timeoutMs});
  }

  /** First error of the socket; the parser may report a response as complete after a reset. */
  get socketError(): Error | undefined {
    return this.error;
  }

  /** Whether no earlier answer can have been written on the connection. */
  get isFirstAnswer(): boolean {
    return this.answers === 1;
  }

  /** Starts to count the bytes of the next answer. */
  startAnswer(): void {
    this.answers++;
    this.startBytes = this.socket?.bytesRead ?? 0;
  }

  /** Opens a connection, for the option `connect` of an undici client. */
  readonly connect: undici.buildConnector.connector = (options, callback) => {
    this.connector(options, (err, socket) => {
      // Typed as null, but the connector passes undefined after a failure.
      if (socket == null) return callback(err, null);
      this.socket = socket;
      this.startBytes = 0;
      this.answers = 1;
      socket.prependListener('error', cause => {
        this.error ??= cause;
      });
      socket.prependListener('readable', () =>
        this.onRead(socket.bytesRead - this.startBytes),
      );
      callback(null, socket);
    });
  };
}
