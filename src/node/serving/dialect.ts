/** What callers, backend servers and the store speak; an adapter translates it. */
import type * as http from 'node:http';

import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as serverLife from '../../common/serving/server_life.js';
import * as serverPace from '../../common/serving/server_pace.js';
import * as units from '../../common/units.js';

/** What a caller's headers say of its request. */
export interface CallerFields {
  /** Name that the caller gave the request, undefined if it gave none. */
  readonly requestId: string | undefined;
  /** Time that the caller waits, undefined if it did not tell. */
  readonly timeLeftMs: units.Millis | undefined;
}

/** What a backend server is told of a run, besides the caller's headers. */
export interface RunFields {
  readonly timeLeftMs: units.Millis;
  /** Incarnation that is meant; any other one refuses. */
  readonly instanceId: string;
}

/** What a backend server's headers say of its answer. */
export interface AnswerFacts {
  /** Name of the request that is answered. */
  readonly requestId: string | undefined;
  /** Whether the backend server vouches for the answer. */
  readonly sealed: boolean;
  /** Whether the backend server says that it did not run the request. */
  readonly notRun: boolean;
  /** Whether another incarnation was meant; the request did not run. */
  readonly misdirected: boolean;
  /** Instance that answered, if told. */
  readonly instanceId: string | undefined;
  readonly coldLeftMs: units.Millis | undefined;
  readonly load: serverPace.ServerLoad | undefined;
}

/** Headers of callers and backend servers. */
export interface HttpDialect {
  readCaller(headers: http.IncomingHttpHeaders): CallerFields;
  /** Headers by which a node tells where a call began, names and values in turn. */
  originHeaders(service: string): readonly string[];
  /** Whether a header, in lower case, is set by nodes only and dropped from callers. */
  isReserved(name: string): boolean;
  runHeaders(fields: RunFields): readonly string[];
  readAnswer(status: number, headers: http.IncomingHttpHeaders): AnswerFacts;
}

/** What a backend server sent to its node's port for announcements. */
export type ServerMessage =
  | {
      readonly kind: 'announcement';
      readonly announcement: serverLife.Announcement;
      readonly dataCentre: string;
    }
  | {
      readonly kind: 'deregistration';
      readonly instanceId: string;
      readonly bornMs: units.EpochMs | undefined;
    }
  | {readonly kind: 'malformed'; readonly detail: string}
  /** Not a message of backend servers. */
  | {readonly kind: 'unknown'};

/** Decodes messages of backend servers. */
export interface AnnouncementDecoder {
  decode(method: string, target: string, body: Buffer): ServerMessage;
}

/** Topics of the store that nodes use. */
export type Topic =
  /** Written by operators. */
  | 'operators'
  /** Written by nodes. */
  | 'fleet';

/** A record of a topic; without a value the key was dropped. */
export interface StoreRecord {
  readonly offset: number;
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** The newest record of each key. */
export interface NewestRecords {
  readonly records: readonly StoreRecord[];
  /** Offset at which the topic ended. */
  readonly endOffset: number;
}

/** Answer to a read of a topic. */
export type FollowResult =
  | {
      readonly kind: 'records';
      readonly records: readonly StoreRecord[];
      /** Offset from which to go on. */
      readonly nextOffset: number;
      /** Offset at which the topic ended. */
      readonly endOffset: number;
    }
  /** Records from the offset have been deleted. */
  | {readonly kind: 'expired'};

/** The platform's store. */
export interface SharedStore extends AsyncDisposable {
  /** @throws errors.GeraniumloftError if the store does not answer. */
  newest(topic: Topic): Promise<NewestRecords>;

  /**
   * Reads records from an offset on; waits up to `waitMs` for the first, or until `stop`.
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
   * Writes a record; without a value the key is dropped.
   *
   * @throws errors.GeraniumloftError if the store does not confirm; the record may be there.
   */
  put(topic: Topic, key: string, value: Buffer | undefined): Promise<void>;
}

/** Decodes the operators' records. */
export interface IntentDecoder {
  /** @throws errors.MalformedInputError on a record that cannot be used. */
  decode(record: StoreRecord): operatorIntent.IntentChange;
}

/** Bounds that the users set. */
export interface FleetBounds {
  /** Time from the request to stop until the process is killed. */
  readonly stopMs: units.Millis;
  /** Repetitions that the fleet may make for each request. */
  readonly repeatRatio: number;
  /** Repetitions beyond the ratio in any window. */
  readonly repeatSlack: number;
  /** Multiple of its declared rate up to which a cold server may be sent requests. */
  readonly coldRateFactor: number;
}

/** All that an adapter provides. */
export interface Platform {
  readonly http: HttpDialect;
  readonly announcements: AnnouncementDecoder;
  readonly intent: IntentDecoder;
  readonly bounds: FleetBounds;
  readonly store: SharedStore;
}
