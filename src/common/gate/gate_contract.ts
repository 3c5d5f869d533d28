/** Events and actions of the gate core, which alone sends work to the backend server. */
import * as peer from '../../generated/peer.js';
import * as control from '../control/control_contract.js';
import * as units from '../units.js';

/** Where a call came from: a link, or this node's own entry. */
export type CallSource =
  | {readonly kind: 'link'; readonly linkId: number; readonly nodeId: string}
  | {readonly kind: 'own-entry'};

/** How a run on the backend server failed. */
export type ServerFailure =
  /** The connection could not be opened: no byte of the request left. */
  | {readonly kind: 'not-sent'}
  /** The backend server shed the request unrun: 503 with `Geraniumloft-Outcome: not-run`. */
  | {readonly kind: 'shed'; readonly retryAfterMs: units.Millis}
  /** The connection broke after bytes left. */
  | {readonly kind: 'broken'}
  /** The answer was cut short, too long or malformed. */
  | {readonly kind: 'bad-answer'};

/** What happens to the gate core. */
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
      readonly state: control.ServerState;
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

/** What the gate core asks of its surroundings. */
export type GateAction =
  /**
   * Send the request to the backend server. `run` numbers the runs of one call; above 1 it is a
   * second run of an idempotent request on a fresh connection beside a silent one.
   */
  | {
      readonly kind: 'run';
      readonly call: peer.CallRequest;
      readonly run: number;
      readonly freshConnection: boolean;
      readonly deadlineMs: units.Millis;
    }
  /** Abort a run: tell the backend server and never reuse the connection. */
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
  /** After `stop`: nothing is in flight. */
  | {readonly kind: 'drained'};
