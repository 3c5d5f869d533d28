/** Events and actions of the gate core, the only sender of requests to the backend server. */
import * as peer from '../../generated/peer.js';
import * as controlContract from '../control/control_contract.js';
import * as units from '../units.js';

/** Origin of a call: a link from another node, or this node's own entry. */
export type CallSource =
  | {readonly kind: 'link'; readonly linkId: number; readonly nodeId: string}
  | {readonly kind: 'own-entry'};

/** Reason why a run on the backend server failed. */
export type ServerFailure =
  /** The connection could not be opened; no byte of the request was sent. */
  | {readonly kind: 'not-sent'}
  /** The backend server shed the request: 503 with `Geraniumloft-Outcome: not-run`. */
  | {readonly kind: 'shed'; readonly retryAfterMs: units.Millis}
  /** The connection broke after bytes of the request were sent. */
  | {readonly kind: 'broken'}
  /** The answer was truncated, too long or malformed. */
  | {readonly kind: 'bad-answer'};

/** Input of the gate core. */
export type GateEvent =
  | {
      readonly kind: 'call';
      readonly source: CallSource;
      readonly call: peer.CallRequest;
    }
  | {readonly kind: 'cancel'; readonly callId: string}
  | {readonly kind: 'source-lost'; readonly linkId: number}
  | {
      readonly kind: 'server-answered';
      readonly callId: string;
      readonly run: number;
      readonly status: number;
      readonly headers: readonly peer.Header[];
      readonly body: Uint8Array;
    }
  | {
      readonly kind: 'server-failed';
      readonly callId: string;
      readonly run: number;
      readonly failure: ServerFailure;
    }
  | {
      readonly kind: 'server-state';
      readonly state: controlContract.ServerState;
      readonly slots: number;
    }
  /** The backend server's process died: its listening port refuses connections. */
  | {readonly kind: 'server-lost'}
  | {
      readonly kind: 'sibling-load';
      readonly nodeId: string;
      readonly load: peer.LoadReport;
    }
  | {readonly kind: 'suspect'; readonly report: peer.SuspectReport}
  | {readonly kind: 'tick'}
  | {readonly kind: 'stop'};

/** Output of the gate core, to be carried out by the node. */
export type GateAction =
  /**
   * Send the request to the backend server. `run` numbers the runs of one call from 1. A run above
   * 1 goes over a new connection: it is a second run of an idempotent request whose first run has
   * not been answered, or a repeat after a run of which no byte was sent.
   */
  | {
      readonly kind: 'run';
      readonly call: peer.CallRequest;
      readonly run: number;
      readonly freshConnection: boolean;
      readonly deadlineMs: units.Millis;
    }
  /** Abort a run: notify the backend server and do not reuse the connection. */
  | {readonly kind: 'abort'; readonly callId: string; readonly run: number}
  | {
      readonly kind: 'answer';
      readonly source: CallSource;
      readonly answer: peer.CallAnswer;
    }
  | {
      readonly kind: 'refuse';
      readonly source: CallSource;
      readonly refusal: peer.CallRefusal;
    }
  | {
      readonly kind: 'tell-siblings';
      readonly nodeIds: readonly string[];
      readonly load: peer.LoadReport;
    }
  | {readonly kind: 'report-suspect'; readonly report: peer.SuspectReport}
  /** Sent once after `stop`, when no call is in flight. */
  | {readonly kind: 'drained'};
