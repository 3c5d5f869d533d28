/** Statuses of responses to callers. */

/** Statuses of this node's own responses. */
export const STATUS = {
  badRequest: 400,
  unauthorized: 401,
  notFound: 404,
  requestTimeout: 408,
  tooLarge: 413,
  tooManyRequests: 429,
  headersTooLarge: 431,
  badGateway: 502,
  unavailable: 503,
  gatewayTimeout: 504,
} as const;

/** Code of the error of Node.js for a head that is not complete in time. */
export const HEAD_OVERDUE = 'ERR_HTTP_REQUEST_TIMEOUT';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Whether a response with this status may have a body. */
export function mayHaveBody(status: number): boolean {
  return status !== NO_CONTENT && status !== NOT_MODIFIED;
}

/** Returns the status for an error of the HTTP parser. */
export function statusOfError(code: string | undefined): number {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return STATUS.headersTooLarge;
    case HEAD_OVERDUE:
      return STATUS.requestTimeout;
    default:
      return STATUS.badRequest;
  }
}
