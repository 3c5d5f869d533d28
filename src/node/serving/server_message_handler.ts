/** Handles the messages that the backend server sends to its node. */
import type * as generated from '../../generated/node_settings.js';
import * as decision from '../../common/serving/decision.js';
import * as serverGate from '../../common/serving/server_gate.js';
import * as units from '../../common/units.js';
import * as clock from '../clock.js';
import * as platformAdapter from './platform_adapter.js';
import * as simpleHttpServer from './simple_http_server.js';

/** Lead that a server's clock may have; a later start would make all true ones outdated. */
const MAX_CLOCK_LEAD_MS: units.Millis = 24 * 3_600_000;

const EMPTY = '{}';

const OK: simpleHttpServer.SimpleResponse = {status: 200, text: EMPTY};
const BAD_REQUEST: simpleHttpServer.SimpleResponse = {status: 400, text: EMPTY};
const NOT_FOUND: simpleHttpServer.SimpleResponse = {status: 404, text: EMPTY};
const CONFLICT: simpleHttpServer.SimpleResponse = {status: 409, text: EMPTY};

/** The backend server on the same instance, as the settings name it. */
export interface LocalServer {
  readonly service: string;
  readonly dataCentre: string;
  /** ip:port. */
  readonly address: string;
}

/** Returns the backend server that the settings of a node name. */
export function localServerOf({
  service,
  dataCentre,
  server,
}: generated.NodeSettings): LocalServer {
  return {service, dataCentre, address: server};
}

/** Dependencies of `ServerMessageHandler`. */
export interface ServerMessageHandlerOptions {
  readonly decoder: platformAdapter.AnnouncementDecoder;
  readonly gate: serverGate.ServerGate;
  readonly log: decision.DecisionLog;
  localServer(): LocalServer;
  /** Called after each message that was passed to the gate. */
  afterEvent(): void;
}

/** Passes announcements to the gate and acknowledges those that it applied. */
export class ServerMessageHandler {
  constructor(private readonly options: ServerMessageHandlerOptions) {}

  /** Responds to a request to the port for announcements. */
  handle(req: simpleHttpServer.SimpleRequest): simpleHttpServer.SimpleResponse {
    const {method, target, body} = req;
    const message = this.options.decoder.decode(method, target, body);
    switch (message.kind) {
      case 'unknown':
        return NOT_FOUND;
      case 'malformed':
        this.noteRefused({detail: message.detail});
        return BAD_REQUEST;
      case 'deregistration': {
        const {instanceId, startMs} = message;
        const now = clock.monotonicMs();
        this.options.gate.onDeregistration(instanceId, startMs, now);
        this.options.afterEvent();
        return OK;
      }
      case 'announcement':
        return this.onAnnouncement(message);
    }
  }

  private onAnnouncement(
    message: Extract<
      platformAdapter.ServerMessage,
      {readonly kind: 'announcement'}
    >,
  ): simpleHttpServer.SimpleResponse {
    const {announcement: a, dataCentre} = message;
    const local = this.options.localServer();
    const address = `${a.ip}:${a.port}`;
    const isLocal =
      a.service === local.service &&
      dataCentre === local.dataCentre &&
      address === local.address;
    if (!isLocal) {
      const {service, instanceId} = a;
      const detail = 'names another server';
      this.noteRefused({detail, service, address, instanceId});
      return CONFLICT;
    }
    if (a.startMs > clock.now().epochMs + MAX_CLOCK_LEAD_MS) {
      const {instanceId, startMs} = a;
      this.noteRefused({detail: 'starts in the future', instanceId, startMs});
      return BAD_REQUEST;
    }
    const change = this.options.gate.onAnnouncement(a, clock.monotonicMs());
    this.options.afterEvent();
    // A message of an earlier incarnation, or out of order, was not applied.
    return change === 'outdated' && a.state === 'ready' ? CONFLICT : OK;
  }

  private noteRefused(facts: decision.Facts): void {
    const {log} = this.options;
    decision.noteStateChange(log, 'server', 'announcement-refused', facts);
  }
}
