/** Names of HTTP headers, and which headers are forwarded. */
import type * as http from 'node:http';

import * as peer from '../generated/peer.js';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

const CHUNKED = 'chunked';

/** Start of a status line, up to the status. */
const STATUS_LINE = /HTTP\/\d\.\d \d{3}/;

/** Time left for a request, in milliseconds. */
export const DEADLINE_HEADER = 'Geraniumloft-Deadline-Ms';

/** Id of a request, returned with its answer. */
export const REQUEST_ID_HEADER = 'Geraniumloft-Request-Id';

/** Number of hops above a call in its call chain. */
export const DEPTH_HEADER = 'Geraniumloft-Depth';

/** Retries left to the whole call chain. */
export const RETRIES_LEFT_HEADER = 'Geraniumloft-Retries-Left';

/** Whether a refused request ran. */
export const OUTCOME_HEADER = 'Geraniumloft-Outcome';

/** Why a request was refused. */
export const REASON_HEADER = 'Geraniumloft-Reason';

/** Wait before a retry, in milliseconds; `Retry-After` has it in seconds. */
export const RETRY_AFTER_MS_HEADER = 'Geraniumloft-Retry-After-Ms';

/** Hop-by-hop headers, and `Content-Length`, which is set anew for each hop. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Headers that a node sets itself on requests to the backend server. */
const NODE_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  DEADLINE_HEADER.toLowerCase(),
  DEPTH_HEADER.toLowerCase(),
  REQUEST_ID_HEADER.toLowerCase(),
]);

/** Headers that only a node sets on answers to callers. */
const NODE_ANSWER_HEADERS: ReadonlySet<string> = new Set([
  REQUEST_ID_HEADER.toLowerCase(),
  OUTCOME_HEADER.toLowerCase(),
  REASON_HEADER.toLowerCase(),
]);

/**
 * Returns the caller's headers that are forwarded to the backend server.
 *
 * @param rawHeaders alternating names and values.
 * @param connection value of the `Connection` header.
 */
export function forwardedRequestHeaders(
  rawHeaders: readonly string[],
  connection: string | undefined,
): readonly peer.Header[] {
  return forwardedHeaders(rawHeaders, connection, NODE_REQUEST_HEADERS);
}

/**
 * Returns the backend server's headers that are forwarded to the caller.
 *
 * @param rawHeaders alternating names and values.
 * @param connection value of the `Connection` header.
 */
export function forwardedAnswerHeaders(
  rawHeaders: readonly string[],
  connection: string | undefined,
): readonly peer.Header[] {
  return forwardedHeaders(rawHeaders, connection, NODE_ANSWER_HEADERS);
}

/**
 * Returns the end-to-end headers, as alternating names and values.
 *
 * @param rawHeaders alternating names and values.
 * @param connection value of the `Connection` header.
 * @param isDropped further headers to omit, by lower-case name.
 */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  connection: string | undefined,
  isDropped: (name: string) => boolean = () => false,
): readonly string[] {
  const connectionNames = connectionHeaderNames(connection);
  const kept: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const lower = rawHeaders[i].toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(lower) || connectionNames.has(lower)) continue;
    if (!isDropped(lower)) kept.push(rawHeaders[i], rawHeaders[i + 1]);
  }
  return kept;
}

/** Converts parsed headers to alternating names and values. */
export function toRawHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): readonly string[] {
  const rawHeaders: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    const values = Array.isArray(value) ? value : [value ?? ''];
    for (const one of values) rawHeaders.push(name, one);
  }
  return rawHeaders;
}

/**
 * Whether the headers of an answer delimit its body. Without a length or chunked coding, a
 * truncated body looks complete. Other transfer codings end with the connection, or would have to
 * be decoded.
 */
export function isDelimited(
  status: number,
  headers: http.IncomingHttpHeaders,
): boolean {
  const coding = headers['transfer-encoding'];
  if (coding !== undefined) return coding.toLowerCase() === CHUNKED;
  return (
    headers['content-length'] !== undefined ||
    status === NO_CONTENT ||
    status === NOT_MODIFIED
  );
}

/**
 * Whether the head of an answer contains the status line of another one: a server broke off within
 * its head and then wrote another answer, whose head was read as the rest of the first.
 *
 * @param reason reason phrase of the status line.
 */
export function isJoinedHead(
  reason: string,
  headers: http.IncomingHttpHeaders,
): boolean {
  if (STATUS_LINE.test(reason)) return true;
  return Object.values(headers).some(value =>
    Array.isArray(value)
      ? value.some(one => STATUS_LINE.test(one))
      : value !== undefined && STATUS_LINE.test(value),
  );
}

/** Returns the value of the header `name`, undefined if absent. */
export function findHeader(
  headers: readonly peer.Header[],
  name: string,
): string | undefined {
  const lower = name.toLowerCase();
  return headers.find(h => h.name.toLowerCase() === lower)?.value;
}

/** Length of the colon, space and line end of a header line. */
const HEADER_LINE_OVERHEAD_BYTES = 4;

/** Returns the length of a request's target and headers, in bytes. */
export function headerBytes(req: http.IncomingMessage): number {
  let bytes = (req.url ?? '').length;
  for (let i = 0; i + 1 < req.rawHeaders.length; i += 2) {
    bytes += req.rawHeaders[i].length + req.rawHeaders[i + 1].length;
    bytes += HEADER_LINE_OVERHEAD_BYTES;
  }
  return bytes;
}

function forwardedHeaders(
  rawHeaders: readonly string[],
  connection: string | undefined,
  nodeHeaders: ReadonlySet<string>,
): readonly peer.Header[] {
  const kept = endToEndHeaders(rawHeaders, connection, name =>
    nodeHeaders.has(name),
  );
  const headers: peer.Header[] = [];
  for (let i = 0; i < kept.length; i += 2) {
    headers.push({name: kept[i], value: kept[i + 1]});
  }
  return headers;
}

const KEEP_ALIVE = 'keep-alive';

const NO_OPTIONS: ReadonlySet<string> = new Set();

/** Returns the lower-case header names that a `Connection` header declares as hop-by-hop. */
function connectionHeaderNames(
  connection: string | undefined,
): ReadonlySet<string> {
  if (connection === undefined || connection === KEEP_ALIVE) return NO_OPTIONS;
  const names = connection.split(',');
  return new Set(names.map(name => name.trim().toLowerCase()));
}
