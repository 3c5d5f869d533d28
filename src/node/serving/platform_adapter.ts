/** Interfaces that an adapter to a platform implements. */
import type * as http from 'node:http';

import * as rollouts from '../../common/rollouts/rollouts.js';
import * as incarnations from '../../common/serving/incarnations.js';
import * as logPosition from '../../common/serving/log_position.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as serverPace from '../../common/serving/server_pace.js';
import * as serverStatement from '../../common/serving/server_statement.js';
import * as units from '../../common/units.js';
import * as workspaceDirectory from '../../common/workspaces/workspace_directory.js';
import * as intentWaits from './intent_waits.js';

/** Fields of the headers of a caller's request. */
export interface CallerFields {
  /** Request id given by the caller, undefined if it gave none. */
  readonly requestId: string | undefined;
  /** Time that the caller will wait, undefined if not stated. */
  readonly timeLeftMs: units.Millis | undefined;
  readonly key: workspaceDirectory.CallerKey;
}

/** Fields sent to a backend server in addition to the caller's headers. */
export interface RunFields {
  readonly timeLeftMs: units.Millis;
  /** Incarnation that the request is for; any other refuses it. */
  readonly instanceId: string;
}

/** Fields of the headers of a backend server's response. */
export interface AnswerFacts {
  /** Id of the request that is answered. */
  readonly requestId: string | undefined;
  /** Whether the response carries the backend server's seal, as each successful one must. */
  readonly sealed: boolean;
  /** Whether the backend server states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether the request was for another incarnation; it did not run. */
  readonly misdirected: boolean;
  /** Instance that answered, undefined if not stated. */
  readonly instanceId: string | undefined;
  /** Remaining time of the cold start, undefined if not stated. */
  readonly coldLeftMs: units.Millis | undefined;
  readonly load: serverPace.ServerLoad | undefined;
  readonly limit: serverStatement.StatedLimit;
  /** Whether the backend server states that it is leaving. */
  readonly leaving: boolean;
}

/** Reads and writes the headers of callers and backend servers. */
export interface HeaderCodec {
  readCaller(headers: http.IncomingHttpHeaders): CallerFields;
  /**
   * Returns headers that name the calling service and workspace, as alternating names and values.
   */
  originHeaders(
    service: string,
    workspace: string | undefined,
  ): readonly string[];
  /** Whether only nodes may set a header (in lower case); it is removed from callers' requests. */
  isReserved(name: string): boolean;
  /** Returns the headers of a request to a backend server, as alternating names and values. */
  runHeaders(fields: RunFields): readonly string[];
  readAnswer(status: number, headers: http.IncomingHttpHeaders): AnswerFacts;
}

/** A message to the node's port for announcements. */
export type ServerMessage =
  | {
      readonly kind: 'announcement';
      readonly announcement: incarnations.Announcement;
      readonly dataCentre: string;
    }
  | {
      readonly kind: 'deregistration';
      readonly instanceId: string;
      /** Start of the incarnation, undefined if not stated. */
      readonly startMs: units.EpochMs | undefined;
    }
  | {readonly kind: 'malformed'; readonly detail: string}
  /** Not a request that backend servers make. */
  | {readonly kind: 'unknown'};

/** Decodes messages of backend servers; returns errors as `malformed`. */
export interface AnnouncementDecoder {
  decode(method: string, target: string, body: Buffer): ServerMessage;
}

/** Topics of the store. */
export type Topic =
  /** Written by operators. */
  | 'operators'
  /** Written by nodes. */
  | 'fleet'
  /** Written by nodes for operators: the state of roll-outs. */
  | 'status';

/** A record of a topic; without a value it deletes the key. */
export interface StoreRecord {
  readonly position: logPosition.LogPosition;
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** The newest record of each key. */
export interface NewestRecords {
  readonly records: readonly StoreRecord[];
  /** Era of the store's state; rises by one when the store returns from an older copy. */
  readonly era: number;
  /** Offset after the last record of the topic. */
  readonly endOffset: number;
}

/** Result of reading a topic from an offset. */
export type FollowResult =
  | {
      readonly kind: 'records';
      readonly records: readonly StoreRecord[];
      readonly era: number;
      /** Offset of the next read. */
      readonly nextOffset: number;
      /** Offset after the last record of the topic. */
      readonly endOffset: number;
    }
  /** The store has no record at the offset: it was deleted, or is beyond the end. */
  | {readonly kind: 'expired'; readonly era: number};

/** Result of a conditional write. */
export interface ConditionalPut {
  /** False if the topic ended at another offset. */
  readonly written: boolean;
  readonly era: number;
}

/** The platform's store of keyed topics. */
export interface SharedStore extends AsyncDisposable {
  /**
   * Reads the newest record of each key.
   *
   * @throws errors.GeraniumloftError if the store does not answer.
   */
  newest(topic: Topic): Promise<NewestRecords>;

  /**
   * Makes later calls over new connections, as open ones may be silent. Calls under way go on over
   * theirs.
   */
  renewConnections(): void;

  /**
   * Reads records from an offset; waits up to `waitMs` for the first one, or until `stop` is
   * aborted.
   *
   * @throws errors.GeraniumloftError if the store does not answer.
   */
  follow(
    topic: Topic,
    fromOffset: number,
    waitMs: units.Millis,
    stop: AbortSignal,
  ): Promise<FollowResult>;

  /**
   * Writes a record; without a value it deletes the key.
   *
   * @returns the era of the store in which the record was written.
   * @throws errors.GeraniumloftError if the store does not confirm; the record may have been
   *     written.
   */
  put(topic: Topic, key: string, value: Buffer | undefined): Promise<number>;

  /**
   * Writes a record if the topic ends at `endOffset`; without a value it deletes the key.
   *
   * @throws errors.GeraniumloftError if the store does not confirm; the record may have been
   *     written, or may be written later while the condition holds.
   */
  putAt(
    topic: Topic,
    key: string,
    value: Buffer | undefined,
    endOffset: number,
  ): Promise<ConditionalPut>;
}

/** Decodes the operators' records. */
export interface IntentDecoder {
  /** @throws errors.MalformedInputError if the record is malformed. */
  decode(record: StoreRecord): operatorIntent.IntentChange;
}

/** State of a roll-out as operators see it. */
export interface RolloutStatus {
  readonly service: string;
  readonly state: 'running' | 'done' | 'rolled_back';
  readonly targetVersion: string;
  /** Position of the order, undefined if the record does not state it. */
  readonly order: logPosition.LogPosition | undefined;
}

/** Reads and writes records of the status topic. */
export interface RolloutStatusCodec {
  /** Key of a service's record. */
  keyOf(service: string): string;
  encode(status: RolloutStatus): Buffer;
  /** @throws errors.MalformedInputError if the record is malformed. */
  decode(value: Buffer): RolloutStatus;
}

/** Bounds of a quota over all nodes. */
export interface QuotaBounds {
  /** Length of the sliding window in which requests are counted. */
  readonly windowMs: units.Millis;
  /** Requests allowed beyond the quota in a window, as a share of it. */
  readonly overage: number;
  /** Requests allowed beyond the quota and its overage in a window. */
  readonly slack: number;
}

/** Bounds for the whole fleet that the users state or that the platform keeps. */
export interface FleetBounds {
  /** Time from the stop signal until the process is killed. */
  readonly stopMs: units.Millis;
  /** Time between the end of a process and the start of the next one on its instance, at least. */
  readonly restartGapMs: units.Millis;
  /** Retries that the fleet may make per request. */
  readonly retryRatio: number;
  /** Retries allowed beyond the ratio in any window. */
  readonly retrySlack: number;
  /** Multiple of its configured rate up to which a backend server in cold start gets requests. */
  readonly coldRateFactor: number;
  readonly intent: intentWaits.IntentBounds;
  /** Time after which a removed key admits no request on any node, infinity without a bound. */
  readonly revokeMs: units.Millis;
  readonly quota: QuotaBounds;
  readonly rollout: rollouts.RolloutBounds;
}

/** Everything that an adapter provides. */
export interface Platform {
  readonly http: HeaderCodec;
  readonly announcements: AnnouncementDecoder;
  readonly intent: IntentDecoder;
  readonly rolloutStatus: RolloutStatusCodec;
  readonly bounds: FleetBounds;
  readonly store: SharedStore;
}
