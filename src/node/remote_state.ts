/** Appends to and reads of the log, and pulls of state from peers. */
import * as control from '../common/control/control_contract.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as eventSource from './event_source.js';
import * as logClient from './log_client.js';
import * as nodeEvent from './node_event.js';
import * as operatorClient from './operator_client.js';

/** Time allowed for a pull of state. */
const PULL_TIMEOUT_MS: units.Millis = 2_000;

/** Turns requests to the log and to peers into events. */
export class RemoteState implements Disposable {
  private readonly source =
    new eventSource.EventSource<nodeEvent.RemoteStateEvent>();

  /** Results of appends, reads and pulls. */
  readonly events = this.source.stream;

  constructor(private readonly log: logClient.LogService) {}

  /** Appends a record. */
  append(record: peer.LogRecord): void {
    const {recordId} = record;
    this.log.append(peer.LogRecord.encode(record).finish()).then(
      offset => this.source.emit({kind: 'appended', recordId, offset}),
      () => this.source.emit({kind: 'append-failed', recordId}),
    );
  }

  /** Reads from the log. */
  read(from: number, limit: number, waitMs: units.Millis): void {
    this.log.read(from, limit, waitMs).then(
      page => this.source.emit({kind: 'log-read', from, page}),
      () => this.source.emit({kind: 'log-read-failed'}),
    );
  }

  /** Pulls what a peer knows from a log offset on, or all it knows. */
  pull(member: peer.Member, fromOffset: number | undefined): void {
    const {nodeId, ip, operatorPort} = member;
    const client = new operatorClient.OperatorClient({
      ip,
      port: operatorPort,
      timeoutMs: PULL_TIMEOUT_MS,
    });
    client.peerState(fromOffset).then(
      (state: control.PeerState) =>
        this.source.emit({kind: 'peer-state', state}),
      () => this.source.emit({kind: 'peer-state-failed', nodeId}),
    );
  }

  [Symbol.dispose](): void {
    this.source[Symbol.dispose]();
  }
}
