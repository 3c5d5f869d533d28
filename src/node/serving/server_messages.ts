/** Answers the backend server's announcements. */
import * as decision from '../../common/serving/decision.js';
import * as serverGate from '../../common/serving/server_gate.js';
import * as clock from '../clock.js';
import * as dialect from './dialect.js';
import * as smallServer from './small_server.js';

const EMPTY = '{}';

const OK: smallServer.SmallResponse = {status: 200, text: EMPTY};
const BAD_REQUEST: smallServer.SmallResponse = {status: 400, text: EMPTY};
const NOT_FOUND: smallServer.SmallResponse = {status: 404, text: EMPTY};
const CONFLICT: smallServer.SmallResponse = {status: 409, text: EMPTY};

/** The backend server that a node stands beside. */
export interface OwnServer {
  readonly service: string;
  readonly dataCentre: string;
  /** ip:port. */
  readonly address: string;
}

/** What the answers depend on. */
export interface ServerMessagesOptions {
  readonly decoder: dialect.AnnouncementDecoder;
  readonly gate: serverGate.ServerGate;
  readonly log: decision.DecisionLog;
  ownServer(): OwnServer;
  /** Called after each message that the gate took. */
  afterEvent(): void;
}

/** Takes announcements to the gate; acknowledges what the gate has in force. */
export class ServerMessages {
  constructor(private readonly options: ServerMessagesOptions) {}

  /** Answers a request to the port for announcements. */
  handle(req: smallServer.SmallRequest): smallServer.SmallResponse {
    const {method, target, body} = req;
    const message = this.options.decoder.decode(method, target, body);
    switch (message.kind) {
      case 'unknown':
        return NOT_FOUND;
      case 'malformed':
        this.noteRefused({detail: message.detail});
        return BAD_REQUEST;
      case 'deregistration': {
        const {instanceId, bornMs} = message;
        const now = clock.monotonicMs();
        this.options.gate.onDeregistration(instanceId, bornMs, now);
        this.options.afterEvent();
        return OK;
      }
      case 'announcement':
        return this.onAnnouncement(message);
    }
  }

  private onAnnouncement(
    message: Extract<dialect.ServerMessage, {readonly kind: 'announcement'}>,
  ): smallServer.SmallResponse {
    const {announcement: a, dataCentre} = message;
    const own = this.options.ownServer();
    const address = `${a.ip}:${a.port}`;
    const isOwn =
      a.service === own.service &&
      dataCentre === own.dataCentre &&
      address === own.address;
    if (!isOwn) {
      const {service, instanceId} = a;
      const detail = 'names another server';
      this.noteRefused({detail, service, address, instanceId});
      return CONFLICT;
    }
    const change = this.options.gate.onAnnouncement(a, clock.monotonicMs());
    this.options.afterEvent();
    // Word of a former incarnation, or out of order, is not in force.
    return change === 'outdated' && a.state === 'ready' ? CONFLICT : OK;
  }

  private noteRefused(facts: decision.Facts): void {
    const {log} = this.options;
    decision.noteBelief(log, 'server', 'announcement-refused', facts);
  }
}
