/** Creates the sockets of a node from its settings. */
import * as fleetView from '../common/control/fleet_view.js';
import * as generated from '../generated/settings.js';
import * as callerMemory from './caller_memory.js';
import * as clock from './clock.js';
import * as datagramSocket from './datagram_socket.js';
import * as descriptorLimit from './descriptor_limit.js';
import * as httpEntry from './http_entry.js';
import * as linkEvent from './link_event.js';
import * as logClient from './log_client.js';
import * as peerLinks from './peer_links.js';
import * as portLog from './port_log.js';
import * as portOpening from './port_opening.js';
import * as remoteState from './remote_state.js';
import * as requestFingerprint from './request_fingerprint.js';
import * as resourceStack from './resource_stack.js';
import * as serverConnections from './server_connections.js';

/** Incoming links accepted per member that the bounds allow. */
const LINKS_PER_MEMBER = 2;

/** Connections of callers accepted for each request that may be in progress. */
const CONNECTIONS_PER_CALL = 4;

/** Servers, clients and sockets of a node. */
export interface NodeSockets {
  readonly http: httpEntry.HttpEntry;
  readonly links: peerLinks.PeerLinks;
  readonly datagrams: datagramSocket.DatagramSocket;
  readonly connections: serverConnections.ServerConnections;
  readonly remote: remoteState.RemoteState;
}

/** Creates the sockets, owned by `resources`; nothing listens yet. */
export async function makeSockets(
  settings: generated.Settings,
  identity: linkEvent.LinkIdentity,
  view: fleetView.FleetView,
  reports: portLog.PortReports,
  resources: resourceStack.ResourceStack,
): Promise<NodeSockets> {
  const {ip, ports, bounds, peerSources, serverSources} = settings;
  const {count} = reports;
  const portOf = (portName: string, port: number): portOpening.PortOptions => ({
    ip,
    port,
    portName,
    observer: portLog.portLog(portName, reports),
  });
  const sizes = {
    maxBodyBytes: bounds.bodyBytes,
    maxHeaderBytes: bounds.headerBytes,
  };
  const fingerprint = await requestFingerprint.RequestFingerprint.load();
  const log = resources.use(new logClient.HttpLogClient(settings.logService));
  const remote = resources.use(new remoteState.RemoteState(log));
  const datagrams = resources.use(
    new datagramSocket.DatagramSocket(
      {
        ...portOf('datagrams', ports.peer),
        maxBytes: bounds.datagramBytes,
        allowedSources: peerSources,
      },
      count,
    ),
  );
  const connections = resources.use(
    new serverConnections.ServerConnections(sizes, count, clock.monotonicMs),
  );
  const links = resources.use(
    new peerLinks.PeerLinks(
      {
        ...sizes,
        identity,
        ...portOf('peers', ports.peer),
        allowedSources: peerSources,
        maxLinks: LINKS_PER_MEMBER * bounds.members,
      },
      count,
      clock.monotonicMs,
      callback => void setImmediate(callback),
    ),
  );
  const http = resources.use(
    new httpEntry.HttpEntry(
      {
        ...sizes,
        ...portOf('callers', ports.http),
        maxCalls: bounds.calls,
        memory: new callerMemory.CallerMemory(bounds.callerBytes),
        maxConnections: Math.min(
          CONNECTIONS_PER_CALL * bounds.calls,
          descriptorLimit.connectionBounds().callers,
        ),
        serverSources,
      },
      view,
      fingerprint,
      count,
    ),
  );
  return {http, links, datagrams, connections, remote};
}

/** Starts listening for peers and then for callers. */
export async function listen(sockets: NodeSockets): Promise<void> {
  await Promise.all([sockets.datagrams.listen(), sockets.links.listen()]);
  await sockets.http.listen();
}
