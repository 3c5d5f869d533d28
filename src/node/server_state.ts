/** State of the backend server beside this node. */
import * as controlContract from '../common/control/control_contract.js';
import * as coreInputs from './core_inputs.js';
import * as logger from './logger.js';
import * as serverAnnouncement from './server_announcement.js';
import * as serverConnections from './server_connections.js';

/** Tracks the backend server's announcements and loss; notifies the gate and control cores. */
export class ServerState {
  private latest: serverAnnouncement.ServerAnnouncement | undefined;

  constructor(
    /** Slots from the settings; an announcement can lower but not raise them. */
    private readonly maxSlots: number,
    private readonly connections: serverConnections.ServerConnections,
    private readonly log: logger.Logger,
  ) {}

  /** Last announced state; `absent` before the first announcement and after a loss. */
  get current(): controlContract.ServerState {
    return this.latest?.state ?? 'absent';
  }

  /** Applies an announcement; a repeat of the last one has no effect. */
  onAnnouncement(
    announcement: serverAnnouncement.ServerAnnouncement,
    inputs: coreInputs.CoreInputs,
  ): void {
    const {latest} = this;
    if (latest !== undefined && isRepeat(latest, announcement)) return;
    if (latest !== undefined && latest.processId !== announcement.processId) {
      this.onLost(inputs);
    }
    this.latest = announcement;
    const {state, ip, port} = announcement;
    const slots = Math.min(announcement.slots, this.maxSlots);
    this.log.info(`backend server: ${state} at ${ip}:${port}, ${slots} slots`);
    this.connections.setAddress({ip, port});
    inputs.toGate({kind: 'server-state', state, slots});
    inputs.toControl({kind: 'server-state', state});
  }

  /** Handles the end of the backend server's process. */
  onLost(inputs: coreInputs.CoreInputs): void {
    if (this.latest !== undefined) this.log.warn('backend server: lost');
    this.latest = undefined;
    this.connections.closeIdle();
    inputs.toGate({kind: 'server-lost'});
    inputs.toControl({kind: 'server-state', state: 'absent'});
  }
}

function isRepeat(
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
