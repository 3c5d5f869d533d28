/** How the backend server stand-in behaves; changed by `POST /.stand-in/mode`. */
export interface ServerMode {
  /** Time that one request takes, in milliseconds. */
  readonly serviceMs: number;
  /** Requests run at the same time; more wait. */
  readonly slots: number;
  /** Requests run at the same time during cold start without a collapse. */
  readonly coldSlots: number;
  /** Length of cold start after the start of the process, in milliseconds. */
  readonly coldMs: number;
  /** Factor on the service time while more run than cold start allows. */
  readonly collapseFactor: number;
  /** Sheds every request unrun. */
  readonly shed: boolean;
  /** Fails every request at once with status 500. */
  readonly failFast: boolean;
  /** Reads requests but never answers, on existing connections too. */
  readonly silent: boolean;
  /** Ends the connection in the middle of each answer. */
  readonly cutShort: boolean;
  /** Answers with the name of another request. */
  readonly foreign: boolean;
  /** Age of the load report, in milliseconds. */
  readonly loadLagMs: number;
  /** Load reported whatever the truth; negative for the truth. */
  readonly reportedInFlight: number;
  /** State announced to the node. */
  readonly announce: 'starting' | 'ready' | 'leaving';
}

/** A warm, honest server. */
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
  loadLagMs: 500,
  reportedInFlight: -1,
  announce: 'ready',
};
