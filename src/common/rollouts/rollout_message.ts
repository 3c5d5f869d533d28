/** Records of orders as nodes send them to each other. */
import * as serving from '../../generated/serving.js';
import * as rolloutOrders from './rollout_orders.js';

/** Returns the message for a record. */
export function encode({
  service,
  order,
  position,
  leftMs = 0,
}: rolloutOrders.RolloutRecord): serving.RolloutRecord {
  return {
    service,
    targetVersion: order?.targetVersion,
    durationMs: Math.ceil(order?.durationMs ?? 0),
    ...position,
    leftMs: Math.ceil(leftMs),
  };
}

/** Returns the record of a message. */
export function decode(
  message: serving.RolloutRecord,
): rolloutOrders.RolloutRecord {
  const {service, targetVersion, durationMs, era, offset, leftMs} = message;
  const order =
    targetVersion === undefined ? undefined : {targetVersion, durationMs};
  return {service, order, position: {era, offset}, leftMs};
}
