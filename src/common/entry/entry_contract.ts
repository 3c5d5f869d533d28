/** Events and actions of the entry core, the only component that retries callers' requests. */
import * as configuration from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';

/** A caller's request with its complete body. */
export interface CallerRequest {
  /** Unique in the fleet, across restarts too. */
  readonly requestId: string;
  readonly service: string;
  readonly requestClass: configuration.RequestClass;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly peer.Header[];
  readonly body: Buffer;
  /** Time left when the entry core receives the request. */
  readonly deadlineMs: units.Millis;
  /** Number of geraniumloft hops above this request. */
  readonly depth: number;
  /** Retries left for the whole call chain, undefined if this request starts the chain. */
  readonly retriesLeft?: number;
  /** Identifies requests with the same service, method, path and body. */
  readonly fingerprint: string;
}

/** Input of the entry core. `callId` identifies an attempt, as in its `CallRequest`. */
export type EntryEvent =
  | {readonly kind: 'request'; readonly request: CallerRequest}
  | {readonly kind: 'caller-gone'; readonly requestId: string}
  | {
      readonly kind: 'answer';
      readonly nodeId: string;
      readonly answer: peer.CallAnswer;
    }
  | {
      readonly kind: 'refusal';
      readonly nodeId: string;
      readonly refusal: peer.CallRefusal;
    }
  /**
   * The attempt's link broke or could not be opened. `sent`: a byte may have been sent. `refused`:
   * the gate's address refused the connection, so that its process has ended.
   */
  | {
      readonly kind: 'link-failed';
      readonly nodeId: string;
      readonly callId: string;
      readonly sent: boolean;
      readonly refused: boolean;
    }
  /** The attempt's link makes no progress: its pings are not answered. */
  | {
      readonly kind: 'link-silent';
      readonly nodeId: string;
      readonly callId: string;
    }
  | {
      readonly kind: 'load';
      readonly nodeId: string;
      readonly load: peer.LoadReport;
    }
  | {readonly kind: 'tick'};

/** Output of the entry core, carried out by the I/O layer. */
export type EntryAction =
  /** Send the attempt to a gate, possibly this node's own; on a new link if `call.resend`. */
  | {
      readonly kind: 'dispatch';
      readonly nodeId: string;
      readonly call: peer.CallRequest;
    }
  | {readonly kind: 'cancel'; readonly nodeId: string; readonly callId: string}
  | {
      readonly kind: 'respond';
      readonly requestId: string;
      readonly answer: peer.CallAnswer;
      readonly servedBy: string;
      readonly attempts: number;
    }
  | {
      readonly kind: 'refuse';
      readonly requestId: string;
      readonly refusal: peer.CallRefusal;
      readonly attempts: number;
    };
