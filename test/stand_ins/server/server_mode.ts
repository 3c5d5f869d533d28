/** Behaviour of the backend server stand-in; set by `POST /.stand-in/mode`. */
export interface ServerMode {
  /** Service time of a request, in milliseconds. */
  readonly serviceMs: number;
  /** Number of requests that run concurrently; more are queued. */
  readonly slots: number;
  /** Number of requests that can run concurrently during cold start without a slowdown. */
  readonly coldSlots: number;
  /** Duration of cold start, from the start of the process, in milliseconds. */
  readonly coldMs: number;
  /** Factor on the service time of requests in excess of `coldSlots` during cold start. */
  readonly collapseFactor: number;
  /** Refuses every request unrun. */
  readonly shed: boolean;
  /** Fails every request at once with status 500. */
  readonly failFast: boolean;
  /** Reads requests but never answers, also on open connections. */
  readonly silent: boolean;
  /** Closes the connection in the middle of each answer. */
  readonly cutShort: boolean;
  /** Answers with the id of another request. */
  readonly foreign: boolean;
  /** Least length of an answer's body, in bytes. */
  readonly bodyBytes: number;
  /** Age of the load report, in milliseconds. */
  readonly loadLagMs: number;
  /** Load to report; negative to report the actual load. */
  readonly reportedInFlight: number;
  /** State announced to the node. */
  readonly announce: 'starting' | 'ready' | 'leaving';
}

/** A server past cold start, without faults. */
export const DEFAULT_MODE: ServerMode = {
  serviceMs: 0,
  slots: 12,
  coldSlots: 2,
  coldMs: 0,
  collapseFactor: 10,
  shed: false,
  failFast: false,
  silent: false,
  cutShort: false,
  foreign: false,
  bodyBytes: 0,
  loadLagMs: 500,
  reportedInFlight: -1,
  announce: 'ready',
};
