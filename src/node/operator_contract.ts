/** Data that a node serves to operators and peers on its operator port. */
import * as controlContract from '../common/control/control_contract.js';
import * as configuration from '../generated/configuration.js';
import * as peer from '../generated/peer.js';

/** A member as listed by `status`. */
export interface MemberStatus {
  readonly nodeId: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly address: string;
  readonly roster: 'joined' | 'leaving';
  readonly liveness: 'alive' | 'suspect' | 'dead';
  readonly provisional: boolean;
  /** Whether operators have taken the data centre or the server out. */
  readonly out: boolean;
}

/** State of one node. */
export interface NodeStatus {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly service: string;
  readonly serverState: controlContract.ServerState;
  /** Undefined before the first configuration. */
  readonly configurationRevision?: number;
  readonly rosterOffset: number;
  readonly stale: boolean;
  /** Load of this node's gate. */
  readonly load: peer.LoadReport;
  readonly members: readonly MemberStatus[];
  readonly counters: Readonly<Record<string, number>>;
  /** Resident memory of the process, in bytes. */
  readonly residentBytes: number;
  /** Processor time of the process since its start, in microseconds. */
  readonly processorUs: number;
}

/** The configuration in force on a node. */
export interface ConfigurationStatus {
  readonly revision: number;
  readonly configuration: configuration.Configuration;
}

/** Procedures of the operator port, as the daemon implements them. */
export interface OperatorService {
  status(): NodeStatus;
  configuration(): ConfigurationStatus | undefined;
  /** Explains how a request of the service would be routed, as plain data. */
  explain(service: string): unknown;
  /** Returns this node's state since a log offset, or all of it if undefined. */
  peerState(fromOffset: number | undefined): controlContract.PeerState;
}
