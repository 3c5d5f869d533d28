/** Events and actions of the control core, which handles membership and configuration. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';

/** A log record with its offset. */
export interface StoredRecord {
  readonly offset: number;
  /** Encoded `peer.LogRecord`. */
  readonly bytes: Uint8Array;
}

/** Result of a log read. */
export interface LogPage {
  readonly records: readonly StoredRecord[];
  /** Offset of the oldest record still kept. */
  readonly firstOffset: number;
  /** Offset from which the next read continues. */
  readonly nextOffset: number;
}

/** A roster entry as exchanged between nodes. */
export interface RosterEntryState {
  readonly member: peer.Member;
  readonly roster: 'joined' | 'leaving' | 'gone';
  /** Offset of the newest record about the member. */
  readonly offset: number;
  /** Time of the newest record about the member. */
  readonly timeMs: units.EpochMs;
  /** Time of the newest record that the member wrote about itself. */
  readonly selfTimeMs: units.EpochMs;
}

/** A log record as exchanged between nodes. */
export interface EncodedRecord {
  readonly offset: number;
  /** Encoded `peer.LogRecord` in base64. */
  readonly bytesBase64: string;
}

/** State sent to a peer that is behind, as JSON over tRPC. */
export interface PeerState {
  readonly nodeId: string;
  /** Encoded `peer.ConfigurationSnapshot` in base64, absent before the first configuration. */
  readonly snapshotBase64?: string;
  /** Offset up to which the sender has folded the log, exclusive. */
  readonly rosterOffset: number;
  readonly roster: readonly RosterEntryState[];
  /** Whether the state accounts for every record of the log below `rosterOffset`. */
  readonly complete: boolean;
  /**
   * Set instead of roster and snapshot if the sender still has every record from the requested
   * offset on; these records bring the receiver to `rosterOffset`.
   */
  readonly records?: readonly EncodedRecord[];
  /** Members known only by gossip. */
  readonly provisional: readonly peer.ProvisionalMember[];
  /** Requests that crash backend servers, for a node that was down when they were reported. */
  readonly suspects: readonly peer.SuspectReport[];
  /** Age of the newest confirmed read of the log's tail, in milliseconds. */
  readonly logAgeMs: units.Millis;
}

/** State of the backend server beside the node. */
export type ServerState = 'absent' | 'starting' | 'ready' | 'leaving';

/** Input of the control core. */
export type ControlEvent =
  | {readonly kind: 'datagram'; readonly datagram: peer.Datagram}
  | {readonly kind: 'log-read'; readonly from: number; readonly page: LogPage}
  | {readonly kind: 'log-read-failed'}
  | {
      readonly kind: 'appended';
      readonly recordId: string;
      readonly offset: number;
    }
  | {readonly kind: 'append-failed'; readonly recordId: string}
  | {readonly kind: 'server-state'; readonly state: ServerState}
  | {readonly kind: 'peer-state'; readonly state: PeerState}
  | {readonly kind: 'peer-state-failed'; readonly nodeId: string}
  /** Configuration revision and roster offset carried by a call from another node. */
  | {
      readonly kind: 'versions-seen';
      readonly nodeId: string;
      readonly configurationRevision: number;
      readonly rosterOffset: number;
    }
  | {readonly kind: 'suspect-found'; readonly report: peer.SuspectReport}
  | {readonly kind: 'tick'}
  | {readonly kind: 'stop'};

/** A change of state, for logs and for the other cores. */
export type ControlNotice =
  | {readonly kind: 'configuration-in-force'; readonly revision: number}
  | {
      readonly kind: 'liveness';
      readonly nodeId: string;
      readonly state: peer.LivenessState;
    }
  | {
      readonly kind: 'roster';
      readonly nodeId: string;
      readonly event: peer.RosterEvent;
    }
  | {readonly kind: 'log'; readonly reachable: boolean}
  | {readonly kind: 'stale'; readonly stale: boolean}
  | {
      readonly kind: 'load';
      readonly nodeId: string;
      readonly load: peer.LoadReport;
    }
  | {readonly kind: 'suspect'; readonly report: peer.SuspectReport}
  /** This node's LEAVING record is in the log or its wait timed out; the process may exit. */
  | {readonly kind: 'left'};

/** Output of the control core, executed by its host. */
export type ControlAction =
  | {
      readonly kind: 'send-datagram';
      readonly nodeId: string;
      readonly ip: string;
      readonly port: number;
      readonly datagram: peer.Datagram;
    }
  | {readonly kind: 'append'; readonly record: peer.LogRecord}
  /** Read the log; exactly one `log-read` or `log-read-failed` event follows. */
  | {
      readonly kind: 'read-log';
      readonly from: number;
      readonly limit: number;
      readonly waitMs: units.Millis;
    }
  /** Pull a peer's state; exactly one `peer-state` or `peer-state-failed` event follows. */
  | {
      readonly kind: 'pull-state';
      readonly member: peer.Member;
      /** Offset from which records suffice, undefined if the whole state is needed. */
      readonly fromOffset: number | undefined;
    }
  | {readonly kind: 'notice'; readonly notice: ControlNotice};
