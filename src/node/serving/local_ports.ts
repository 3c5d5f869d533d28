/** Ports of a node that serve clients on its own instance or operators. */
import * as decision from '../../common/serving/decision.js';
import * as generated from '../../generated/node_settings.js';
import * as resourceStack from '../resource_stack.js';
import * as address from './address.js';
import * as simpleHttpServer from './simple_http_server.js';

/** Handlers of the ports. */
export type LocalHandlers = Readonly<
  Record<
    'readiness' | 'announcements' | 'metrics',
    simpleHttpServer.SimpleHandler
  >
>;

/** Limits and dependencies of the ports. */
export interface LocalPortsOptions {
  /** Most connections at a time to each port. */
  readonly maxConnections: number;
  readonly log: decision.DecisionLog;
  /** Owns the ports. */
  readonly resources: resourceStack.ResourceStack;
}

/**
 * Opens the ports that have an address; resolves once all listen.
 *
 * @throws the error of the socket if a port cannot be opened.
 */
export async function openLocalPorts(
  listen: generated.NodeSettings['listen'],
  handlers: LocalHandlers,
  {maxConnections, log, resources}: LocalPortsOptions,
): Promise<void> {
  const ports = ['readiness', 'announcements', 'metrics'] as const;
  await Promise.all(
    ports.map(async port => {
      const listenAddress = listen[port];
      if (listenAddress === undefined) return;
      const onClosed = (reason: string): void => {
        const facts = {port, reason};
        decision.noteStateChange(log, 'node', 'connection-closed', facts);
      };
      const server = resources.use(
        new simpleHttpServer.SimpleHttpServer(handlers[port], {
          maxConnections,
          onClosed,
        }),
      );
      await server.listen(address.parseAddress(listenAddress));
    }),
  );
}
