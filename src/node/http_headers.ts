/** Names of HTTP headers, and the headers that are not passed on. */
import type * as http from 'node:http';

import * as peer from '../generated/peer.js';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Time left for a request, in milliseconds. */
export const DEADLINE_HEADER = 'Geraniumloft-Deadline-Ms';

/** Name of a request, returned with its answer. */
export const REQUEST_ID_HEADER = 'Geraniumloft-Request-Id';

/** Number of hops above a call. */
export const DEPTH_HEADER = 'Geraniumloft-Depth';

/** Retries left to the whole call chain. */
export const RETRIES_LEFT_HEADER = 'Geraniumloft-Retries-Left';

/** What a refusal says about execution. */
export const OUTCOME_HEADER = 'Geraniumloft-Outcome';

/** Why a request was refused. */
export const REASON_HEADER = 'Geraniumloft-Reason';

/** When to come back, in milliseconds; `Retry-After` has it in seconds. */
export const RETRY_AFTER_MS_HEADER = 'Geraniumloft-Retry-After-Ms';

/** Headers that concern one connection only, and the length, which is written anew. */
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

/** Headers that a node sets itself on the way to the backend server. */
const OWN_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  DEADLINE_HEADER.toLowerCase(),
  DEPTH_HEADER.toLowerCase(),
  REQUEST_ID_HEADER.toLowerCase(),
]);

/** Headers by which a node alone speaks to callers. */
const OWN_ANSWER_HEADERS: ReadonlySet<string> = new Set([
  REQUEST_ID_HEADER.toLowerCase(),
  OUTCOME_HEADER.toLowerCase(),
  REASON_HEADER.toLowerCase(),
]);

/**
 * Returns the caller's headers that travel to the backend server.
 *
 * @param rawHeaders names and values in turn.
 * @param connection value of the `Connection` header.
 */
export function forwardedRequestHeaders(
  rawHeaders: readonly string[],
  connection: string | undefined,
): readonly peer.Header[] {
  return forwarded(rawHeaders, connection, OWN_REQUEST_HEADERS);
}

/**
 * Returns the backend server's headers that travel to the caller.
 *
 * @param rawHeaders names and values in turn.
 * @param connection value of the `Connection` header.
 */
export function forwardedAnswerHeaders(
  rawHeaders: readonly string[],
  connection: string | undefined,
): readonly peer.Header[] {
  return forwarded(rawHeaders, connection, OWN_ANSWER_HEADERS);
}

/**
 * Returns the headers that are not bound to one connection, names and values in turn.
 *
 * @param rawHeaders names and values in turn.
 * @param connection value of the `Connection` header.
 * @param isDropped further headers to leave out, by their name in lower case.
 */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  connection: string | undefined,
  isDropped: (name: string) => boolean = () => false,
): readonly string[] {
  const named = connectionOptions(connection);
  const kept: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const lower = rawHeaders[i].toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(lower) || named.has(lower)) continue;
    if (!isDropped(lower)) kept.push(rawHeaders[i], rawHeaders[i + 1]);
  }
  return kept;
}

/** Returns parsed headers as names and values in turn. */
export function flattened(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): readonly string[] {
  const flat: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    const values = Array.isArray(value) ? value : [value ?? ''];
    for (const one of values) flat.push(name, one);
  }
  return flat;
}

/**
 * Whether the headers of an answer tell where its body ends. Without a length or chunks, a body
 * that was cut short looks whole.
 */
export function isDelimited(
  status: number,
  headers: http.IncomingHttpHeaders,
): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined ||
    status === NO_CONTENT ||
    status === NOT_MODIFIED
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

function forwarded(
  rawHeaders: readonly string[],
  connection: string | undefined,
  own: ReadonlySet<string>,
): readonly peer.Header[] {
  const kept = endToEndHeaders(rawHeaders, connection, name => own.has(name));
  const headers: peer.Header[] = [];
  for (let i = 0; i < kept.length; i += 2) {
    headers.push({name: kept[i], value: kept[i + 1]});
  }
  return headers;
}

const KEEP_ALIVE = 'keep-alive';

const NO_OPTIONS: ReadonlySet<string> = new Set();

/** Header names that a `Connection` header declares to be hop-by-hop. */
function connectionOptions(
  connection: string | undefined,
): ReadonlySet<string> {
  if (connection === undefined || connection === KEEP_ALIVE) return NO_OPTIONS;
  const names = connection.split(',');
  return new Set(names.map(name => name.trim().toLowerCase()));
}
