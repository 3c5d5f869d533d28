/** Framing of connections between nodes. */
import type * as net from 'node:net';

import * as serving from '../../generated/serving.js';
import * as framedSocket from '../framed_socket.js';

/** Largest frame in bytes: the largest request body that callers may send, plus headers. */
const MAX_FRAME_BYTES = 80 * 1024 * 1024;

/** Wraps a connection between nodes in a socket that sends and receives `NodeFrame`s. */
export function wrapSocket(
  socket: net.Socket,
  peerName: string,
  listener: framedSocket.FramedSocketListener<serving.NodeFrame>,
): framedSocket.FramedSocket<serving.NodeFrame> {
  return new framedSocket.FramedSocket(
    socket,
    serving.NodeFrame,
    MAX_FRAME_BYTES,
    peerName,
    listener,
  );
}
