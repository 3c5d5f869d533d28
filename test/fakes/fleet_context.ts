/** What the parts of a fleet in virtual time share. */
import * as configuration from '../../src/common/serving/configuration.js';
import * as entryCall from '../../src/common/serving/entry_call.js';
import * as randomSource from '../../src/common/random_source.js';
import * as units from '../../src/common/units.js';
import * as servingFleetNode from './serving_fleet_node.js';
import * as stallingServer from './stalling_server.js';
import * as statementAudit from './statement_audit.js';
import * as virtualServiceClock from './virtual_service_clock.js';

/** A kind of request that callers send. */
export interface RequestClass {
  readonly route: configuration.Route;
  readonly workMs: units.Millis;
  readonly deadlineMs: units.Millis;
  /** Share of all requests; 0 for requests that only backend servers send. */
  readonly share: number;
  /** Request that a share of the runs sends and waits for. */
  readonly call?: {readonly requestClass: RequestClass; readonly share: number};
}

/** Final result of a request at an entry. */
export type Reply =
  | {readonly kind: 'answer'; readonly status: number}
  | {readonly kind: 'give-up'; readonly giveUp: entryCall.GiveUp}
  /** The node ended before it answered. */
  | {readonly kind: 'connection-lost'};

/** What the nodes of a fleet share. */
export interface FleetContext {
  readonly clock: virtualServiceClock.VirtualClock;
  readonly random: randomSource.RandomSource;
  readonly document: configuration.FleetConfiguration;
  readonly classes: readonly RequestClass[];
  readonly server: stallingServer.ServerOptions;
  readonly audit: statementAudit.StatementAudit;
  /** Retries of the fleet beyond its ratio. */
  readonly retrySlack: number;
  readonly nodes: () => readonly servingFleetNode.FleetNode[];
  readonly nodeOf: (nodeId: string) => servingFleetNode.FleetNode;
  /** Returns a number that no other process of the fleet has. */
  readonly nextProcessId: () => number;
}
