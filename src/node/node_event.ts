/** Union of all events of a node. */
import * as controlContract from '../common/control/control_contract.js';
import * as datagramSocket from './datagram_socket.js';
import * as httpEntry from './http_entry.js';
import * as linkEvent from './link_event.js';
import * as serverConnections from './server_connections.js';

/** Results of log reads and appends, and of state pulls from peers. */
export type RemoteStateEvent = Extract<
  controlContract.ControlEvent,
  {
    readonly kind:
      | 'log-read'
      | 'log-read-failed'
      | 'appended'
      | 'append-failed'
      | 'peer-state'
      | 'peer-state-failed';
  }
>;

/** An event of a socket, a timer or the process. */
export type NodeEvent =
  | httpEntry.HttpEntryEvent
  | linkEvent.LinkEvent
  | serverConnections.ServerEvent
  | datagramSocket.DatagramEvent
  | RemoteStateEvent
  | {readonly kind: 'tick'}
  | {readonly kind: 'stop'};
