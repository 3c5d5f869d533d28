/** tRPC router of the operator port. */
import * as trpc from '@trpc/server';

import * as peer from '../generated/peer.js';
import * as contract from './operator_contract.js';

const MAX_SERVICE_NAME_LENGTH = 63;

/** Largest key handover accepted, in bytes of base64. */
export const MAX_HANDOVER_LENGTH = 8 * 1024 * 1024;

const builder = trpc.initTRPC.context<contract.OperatorService>().create();

/** Accepts the name of a service. */
function parseServiceName(input: unknown): string {
  if (typeof input === 'string' && input.length <= MAX_SERVICE_NAME_LENGTH) {
    return input;
  }
  throw new TypeError(
    `expected a service name of at most ${MAX_SERVICE_NAME_LENGTH} characters`,
  );
}

/** Accepts an offset of the log, or none. */
function parseOffset(input: unknown): number | undefined {
  if (input === undefined) return undefined;
  if (typeof input === 'number' && Number.isSafeInteger(input) && input >= 0) {
    return input;
  }
  throw new TypeError('expected an offset');
}

/** Accepts an encoded key handover in base64. */
function parseHandover(input: unknown): string {
  if (typeof input !== 'string' || input.length > MAX_HANDOVER_LENGTH) {
    throw new TypeError('expected an encoded key handover');
  }
  return input;
}

/** Procedures for operators and for peers that are behind. */
export const operatorRouter = builder.router({
  status: builder.procedure.query(({ctx}) => ctx.status()),
  configuration: builder.procedure.query(
    ({ctx}) => ctx.configuration() ?? null,
  ),
  explain: builder.procedure
    .input(parseServiceName)
    .query(({ctx, input}) => ctx.explain(input)),
  peerState: builder.procedure
    .input(parseOffset)
    .query(({ctx, input}) => ctx.peerState(input)),
  receiveKeys: builder.procedure
    .input(parseHandover)
    .mutation(({ctx, input}) => {
      const handover = peer.KeyHandover.decode(Buffer.from(input, 'base64'));
      ctx.receiveKeys(handover);
      return {received: handover.entries.length};
    }),
});

/** Type of the router, for clients. */
export type OperatorRouter = typeof operatorRouter;
