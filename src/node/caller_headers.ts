/** Headers in which callers give parameters of their calls. */
import type * as http from 'node:http';

import * as units from '../common/units.js';
import * as httpHeaders from './http_headers.js';

/** Longest deadline that a caller can set; a larger value is reduced to it. */
const MAX_DEADLINE_MS: units.Millis = 600_000;

/** Largest depth and number of retries that a caller can set; larger values are reduced to it. */
const MAX_COUNT = 1_000;

const MAX_REQUEST_ID_LENGTH = 128;

/** Parameters of a call from its caller's headers. */
export interface CallFields {
  readonly deadlineMs: units.Millis | undefined;
  readonly depth: number;
  readonly retriesLeft: number | undefined;
}

/** Reads the headers of a call; returns undefined if one is malformed. */
export function callFields(req: http.IncomingMessage): CallFields | undefined {
  const deadlineMs = integerHeader(
    req,
    httpHeaders.DEADLINE_HEADER,
    MAX_DEADLINE_MS,
  );
  const depth = integerHeader(req, httpHeaders.DEPTH_HEADER, MAX_COUNT);
  const retriesLeft = integerHeader(
    req,
    httpHeaders.RETRIES_LEFT_HEADER,
    MAX_COUNT,
  );
  if (
    deadlineMs === 'malformed' ||
    depth === 'malformed' ||
    retriesLeft === 'malformed'
  ) {
    return undefined;
  }
  return {
    deadlineMs,
    depth: depth ?? 0,
    retriesLeft,
  };
}

function integerHeader(
  req: http.IncomingMessage,
  name: string,
  max: number,
): number | undefined | 'malformed' {
  const text = singleHeader(req, name);
  if (text === undefined) return undefined;
  if (!/^\d{1,9}$/.test(text)) return 'malformed';
  return Math.min(Number(text), max);
}

function singleHeader(
  req: http.IncomingMessage,
  name: string,
): string | undefined {
  const value = req.headers[name.toLowerCase()];
  return typeof value === 'string' ? value : undefined;
}

/** Returns the caller's id for its request, undefined if it is absent or invalid. */
export function requestIdOf(req: http.IncomingMessage): string | undefined {
  const value = singleHeader(req, httpHeaders.REQUEST_ID_HEADER);
  const isValid =
    value !== undefined &&
    value.length <= MAX_REQUEST_ID_LENGTH &&
    /^[\x21-\x7e]+$/.test(value);
  return isValid ? value : undefined;
}
