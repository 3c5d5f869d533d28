/** Events of a link to another node's gate. */
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';

/** Loss of a link that was up. */
export interface LinkLoss {
  readonly detail: string;
  /** Time since the last bytes of the gate. */
  readonly silentMs: units.Millis;
  /** Requests without an outcome. */
  readonly pending: number;
}

/** How a link came up. */
export interface LinkUp {
  /** Whether the gate's process is the one of the former connection. */
  readonly sameProcess: boolean;
  /** Whether it is the former connection, which was silent for a while. */
  readonly sameConnection: boolean;
}

/** Why the outcome of a request is lost. */
export type LossCause =
  /** The request was not sent, as the link was down. */
  | 'not-sent'
  /** The gate's node is no longer known. */
  | 'link-removed'
  /** Another process of the node answers at its address. */
  | 'process-replaced'
  /** No process answers at the address of the gate. */
  | 'process-ended'
  /** The gate's instance does not answer. */
  | 'unreachable';

/** Receives the events of a link. */
export interface GateLinkListener {
  onUp(nodeId: string, up: LinkUp): void;
  onDown(nodeId: string, loss: LinkLoss): void;
  /** The gate has not answered a ping in time and may be unreachable. */
  onMaybeUnreachable(nodeId: string): void;
  /** No connection to the gate's address has opened for a second. */
  onAbsent(nodeId: string): void;
  /** The node of the gate tells what it knows of the backend server beside this node. */
  onNotice(notice: serving.ServerNotice): void;
  onAnswer(nodeId: string, answer: serving.Answer): void;
  onRefusal(nodeId: string, refusal: serving.Refusal): void;
  onPulse(nodeId: string, pulse: serving.Pulse): void;
  onState(nodeId: string, state: serving.FleetState): void;
  onTokenGrant(nodeId: string, grant: serving.TokenGrant): void;
  onSuspect(suspect: serving.Suspect): void;
  onFreshnessProof(nodeId: string, proof: serving.FreshnessProof): void;
  /** The gate is silent; the request may be at work there, and its answer may still come. */
  onOutcomeUnknown(nodeId: string, call: number): void;
  /** The gate has the request, or gets it now, after `onOutcomeUnknown`. */
  onGateResponds(nodeId: string, call: number): void;
  /** This link can no longer report the outcome of a request. */
  onRequestLost(nodeId: string, call: number, cause: LossCause): void;
  /** Another node listens at the address. */
  onMismatch(nodeId: string, found: serving.NodeRecord | undefined): void;
}
