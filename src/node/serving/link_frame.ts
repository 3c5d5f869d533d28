/** Connections between nodes carry `NodeFrame`s. */
import type * as net from 'node:net';

import * as serving from '../../generated/serving.js';
import * as framedSocket from '../framed_socket.js';

/** Largest frame: the largest body that callers may send, with room for headers. */
const MAX_FRAME_BYTES = 80 * 1024 * 1024;

/** Wraps a connection between nodes. */
export function wrap(
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
