/** Events and actions of the entry core, which takes callers' requests and alone retries. */
import * as generated from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';

/** A caller's request, read whole. */
export interface CallerRequest {
  /** Unique in the fleet, also across restarts. */
  readonly requestId: string;
  readonly service: string;
  readonly requestClass: generated.RequestClass;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly peer.Header[];
  readonly body: Buffer;
  readonly deadlineMs: units.Millis;
  /** Empty without one. */
  readonly depth: number;
  /** Retries left to the whole call chain, undefined at its top. */
  readonly retriesLeft?: number;
  readonly fingerprint: string;
}

/** What happens to the entry core. Attempts are named by the `callId` of their `CallRequest`. */
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
  /** The attempt's link broke or could not be opened; `sent` tells whether a byte may have left. */
  | {
      readonly kind: 'link-failed';
      readonly nodeId: string;
      readonly callId: string;
      readonly sent: boolean;
    }
  /** The attempt's link makes no progress: pings go unanswered. */
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

/** What the entry core asks of its surroundings. */
export type EntryAction =
  /** Send the attempt to a gate, maybe the own one; on a fresh link if `call.resend`. */
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
