/** Log appends and reads, and state pulls from peers. */
import * as controlContract from '../common/control/control_contract.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as eventSource from './event_source.js';
import * as logClient from './log_client.js';
import * as nodeEvent from './node_event.js';
import * as operatorClient from './operator_client.js';

/** Time allowed for a state pull. */
const PULL_TIMEOUT_MS: units.Millis = 2_000;

/** Sends requests to the log service and to peers, and emits their results as events. */
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

  /** Pulls a peer's state since a log offset, or all of it if undefined. */
  pull(member: peer.Member, fromOffset: number | undefined): void {
    const {nodeId, ip, operatorPort} = member;
    const client = new operatorClient.OperatorClient({
      ip,
      port: operatorPort,
      timeoutMs: PULL_TIMEOUT_MS,
    });
    client.peerState(fromOffset).then(
      (state: controlContract.PeerState) =>
        this.source.emit({kind: 'peer-state', state}),
      () => this.source.emit({kind: 'peer-state-failed', nodeId}),
    );
  }

  [Symbol.dispose](): void {
    this.source[Symbol.dispose]();
  }
}
