/** Records of nodes, checked where they are decoded. */
import * as net from 'node:net';

import * as errors from '../../common/errors.js';
import * as names from '../../common/serving/names.js';
import * as generated from '../../generated/node_settings.js';
import * as serving from '../../generated/serving.js';
import * as address from './address.js';

const MAX_PORT = 65_535;

/** First octets of addresses of this network, of groups and of reserved ranges. */
const THIS_NETWORK = 0;
const FIRST_GROUP = 224;

declare const checked: unique symbol;

/** A record to whose address a connection can be attempted; made by `check` only. */
export type NodeRecord = Readonly<serving.NodeRecord> & {
  readonly [checked]: true;
};

/**
 * Returns a record of another node as one that can be used.
 *
 * @throws errors.MalformedInputError if it names no node.
 */
export function check(record: serving.NodeRecord): NodeRecord {
  const fault = faultOf(record);
  if (fault === undefined) return record as NodeRecord;
  const site = {step: 'check node record', peer: 'fleet'};
  throw new errors.MalformedInputError(fault, site);
}

/** Returns the record of the node that has the settings. */
export function ofSettings(
  settings: generated.NodeSettings,
): serving.NodeRecord {
  const {nodeId, dataCentre, service, listen} = settings;
  const advertised = listen.advertised ?? listen.peers;
  const {ip, port} = address.parseAddress(advertised);
  return {nodeId, dataCentre, service, ip, port};
}

function faultOf(record: serving.NodeRecord): string | undefined {
  const {nodeId, dataCentre, service, ip, port} = record;
  if (![nodeId, dataCentre, service].every(names.isName)) {
    return 'node id, data centre or service is no name';
  }
  if (!isReachable(ip)) return 'no address of a host';
  const isPort = Number.isInteger(port) && port > 0 && port <= MAX_PORT;
  return isPort ? undefined : 'port out of range';
}

/** Whether an address may belong to a host; names are not looked up. */
function isReachable(ip: string): boolean {
  if (!net.isIPv4(ip)) return false;
  const firstOctet = Number(ip.split('.', 1)[0]);
  return firstOctet !== THIS_NETWORK && firstOctet < FIRST_GROUP;
}
