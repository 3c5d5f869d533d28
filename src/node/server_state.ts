/** What the node knows of the backend server beside it. */
import * as control from '../common/control/control_contract.js';
import * as coreInputs from './core_inputs.js';
import * as logger from './logger.js';
import * as serverAnnouncement from './server_announcement.js';
import * as serverConnections from './server_connections.js';

/** Follows the backend server's announcements and its loss. */
export class ServerState {
  private last: serverAnnouncement.ServerAnnouncement | undefined;

  constructor(
    /** Slots of the settings; an announcement may lower but not raise them. */
    private readonly maxSlots: number,
    private readonly connections: serverConnections.ServerConnections,
    private readonly log: logger.Logger,
  ) {}

  /** State as announced last. */
  get current(): control.ServerState {
    return this.last?.state ?? 'absent';
  }

  /** Takes an announcement; a repeated one changes nothing. */
  announced(
    announcement: serverAnnouncement.ServerAnnouncement,
    inputs: coreInputs.CoreInputs,
  ): void {
    const {last} = this;
    if (last !== undefined && isSame(last, announcement)) return;
    if (last !== undefined && last.processId !== announcement.processId) {
      this.lost(inputs);
    }
    this.last = announcement;
    const {state, ip, port} = announcement;
    const slots = Math.min(announcement.slots, this.maxSlots);
    this.log.info(`backend server: ${state} at ${ip}:${port}, ${slots} slots`);
    this.connections.setAddress({ip, port});
    inputs.toGate({kind: 'server-state', state, slots});
    inputs.toControl({kind: 'server-state', state});
  }

  /** The backend server's process has gone. */
  lost(inputs: coreInputs.CoreInputs): void {
    if (this.last !== undefined) this.log.warn('backend server: lost');
    this.last = undefined;
    this.connections.dropIdle();
    inputs.toGate({kind: 'server-lost'});
    inputs.toControl({kind: 'server-state', state: 'absent'});
  }
}

function isSame(
  a: serverAnnouncement.ServerAnnouncement,
  b: serverAnnouncement.ServerAnnouncement,
): boolean {
  return (
    a.state === b.state &&
    a.ip === b.ip &&
    a.port === b.port &&
    a.slots === b.slots &&
    a.processId === b.processId
  );
}
