/** Events of the links between nodes. */
import * as peer from '../generated/peer.js';

/** An event of a link, or of an attempt or call on it. */
export type LinkEvent =
  | {
      readonly kind: 'link-answer';
      readonly nodeId: string;
      readonly answer: peer.CallAnswer;
    }
  | {
      readonly kind: 'link-refusal';
      readonly nodeId: string;
      readonly refusal: peer.CallRefusal;
    }
  /** The attempt's link broke or could not be opened. */
  | {
      readonly kind: 'link-failed';
      readonly nodeId: string;
      readonly callId: string;
      /** Whether a byte of the attempt may have been sent. */
      readonly sent: boolean;
      /** Whether the gate's address refused the connection: its process has ended. */
      readonly refused: boolean;
    }
  /**
   * The attempt's link makes no progress: a ping went unanswered. The attempt may be resent; its
   * reply may still arrive over this link.
   */
  | {
      readonly kind: 'link-silent';
      readonly nodeId: string;
      readonly callId: string;
    }
  | {
      readonly kind: 'link-call';
      readonly linkId: number;
      readonly nodeId: string;
      readonly call: peer.CallRequest;
    }
  | {readonly kind: 'link-cancel'; readonly callId: string}
  /** A link opened by another node has ended. */
  | {readonly kind: 'link-lost'; readonly linkId: number};

/** Identity that this node presents on its links. */
export interface LinkIdentity {
  readonly nodeId: string;
  readonly incarnation: number;
}
