/** Client of another node's operator port. */
import * as trpc from '@trpc/client';
import * as undici from 'undici';

import * as controlContract from '../common/control/control_contract.js';
import * as errors from '../common/errors.js';
import * as units from '../common/units.js';
import * as httpOrigin from './http_origin.js';
import * as operatorContract from './operator_contract.js';
import * as operatorRouter from './operator_router.js';

/** A call to another node's operator port that failed. */
export class OperatorCallError extends errors.GeraniumloftError {}

/** Address of an operator port. */
export interface OperatorAddress {
  readonly ip: string;
  readonly port: number;
  readonly timeoutMs: units.Millis;
}

/** Fetches with the undici package, which the node loads anyway, not the one built into Node.js. */
function fetchWithUndici(
  url: Parameters<typeof fetch>[0],
  init?: unknown,
): Promise<undici.Response> {
  return undici.fetch(String(url), init as undici.RequestInit);
}

/** Calls the procedures of one node. All methods throw OperatorCallError on failure. */
export class OperatorClient {
  private readonly url: string;
  private readonly client;

  constructor(private readonly address: OperatorAddress) {
    this.url = httpOrigin.httpOrigin(address.ip, address.port);
    this.client = trpc.createTRPCClient<operatorRouter.OperatorRouter>({
      links: [trpc.httpLink({url: this.url, fetch: fetchWithUndici})],
    });
  }

  status(): Promise<operatorContract.NodeStatus> {
    return this.call('status', options =>
      this.client.status.query(undefined, options),
    );
  }

  configuration(): Promise<operatorContract.ConfigurationStatus | null> {
    return this.call('configuration', options => {
      return this.client.configuration.query(undefined, options);
    });
  }

  explain(service: string): Promise<unknown> {
    return this.call('explain', options =>
      this.client.explain.query(service, options),
    );
  }

  /** Returns the node's state since a log offset, or all of it if undefined. */
  peerState(fromOffset?: number): Promise<controlContract.PeerState> {
    return this.call('pull state', async options => {
      const state = await this.client.peerState.query(fromOffset, options);
      return state as controlContract.PeerState;
    });
  }

  private async call<T>(
    step: string,
    procedure: (options: {readonly signal: AbortSignal}) => Promise<T>,
  ): Promise<T> {
    try {
      const signal = AbortSignal.timeout(this.address.timeoutMs);
      return await procedure({signal});
    } catch (err) {
      const message = err instanceof Error ? err.message : String(err);
      throw new OperatorCallError(
        message,
        {step, peer: this.url},
        {cause: err},
      );
    }
  }
}
