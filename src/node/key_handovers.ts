/** Key memory handed to other nodes at a planned stop. */
import * as fleetView from '../common/control/fleet_view.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as logger from './logger.js';
import * as operatorClient from './operator_client.js';

/** Time allowed for one handover. */
const HANDOVER_TIMEOUT_MS: units.Millis = 2_000;

/** Sends key memory and knows what is still on its way. */
export class KeyHandovers {
  private readonly pending = new Set<Promise<void>>();

  constructor(
    private readonly view: fleetView.FleetView,
    private readonly log: logger.Logger,
  ) {}

  /** Hands key memory to the node. */
  send(nodeId: string, handover: peer.KeyHandover): void {
    const sending = this.deliver(nodeId, handover).finally(() =>
      this.pending.delete(sending),
    );
    this.pending.add(sending);
  }

  /** Resolves once every handover has arrived or failed. */
  async settled(): Promise<void> {
    await Promise.all(this.pending);
  }

  private async deliver(
    nodeId: string,
    handover: peer.KeyHandover,
  ): Promise<void> {
    const member = this.view.member(nodeId)?.member;
    if (member === undefined) return;
    const client = new operatorClient.OperatorClient({
      ip: member.ip,
      port: member.operatorPort,
      timeoutMs: HANDOVER_TIMEOUT_MS,
    });
    try {
      const count = await client.handOverKeys(handover);
      this.log.info(`handed ${count} keys to node ${nodeId}`);
    } catch (err) {
      const message = err instanceof Error ? err.message : String(err);
      this.log.warn(`keys not handed to node ${nodeId}: ${message}`);
    }
  }
}
