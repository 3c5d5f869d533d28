/** tRPC router of the operator port. */
import * as trpc from '@trpc/server';

import * as operatorContract from './operator_contract.js';

const MAX_SERVICE_NAME_LENGTH = 63;

const builder = trpc.initTRPC
  .context<operatorContract.OperatorService>()
  .create();

/** Validates the name of a service. */
function parseServiceName(input: unknown): string {
  if (typeof input === 'string' && input.length <= MAX_SERVICE_NAME_LENGTH) {
    return input;
  }
  throw new TypeError(
    `expected a service name of at most ${MAX_SERVICE_NAME_LENGTH} characters`,
  );
}

/** Validates an optional log offset. */
function parseOffset(input: unknown): number | undefined {
  if (input === undefined) return undefined;
  if (typeof input === 'number' && Number.isSafeInteger(input) && input >= 0) {
    return input;
  }
  throw new TypeError('expected a log offset');
}

/** Procedures for operators, and for peers whose state is outdated. */
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
});

/** Type of the router, for clients. */
export type OperatorRouter = typeof operatorRouter;
