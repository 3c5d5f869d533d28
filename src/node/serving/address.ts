/** Parsing of addresses in settings and records. */
import * as errors from '../../common/errors.js';
import * as tcpListener from '../tcp_listener.js';

/**
 * Parses `ip:port`.
 *
 * @throws errors.MalformedInputError if `text` is no IPv4 address and port.
 */
export function parseAddress(text: string): tcpListener.ListenAddress {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(text);
  const port = Number(match?.[2]);
  if (match === null || port > 65_535) {
    throw new errors.MalformedInputError('expected ip:port', {
      step: 'parse address',
      peer: text,
    });
  }
  return {ip: match[1], port};
}
