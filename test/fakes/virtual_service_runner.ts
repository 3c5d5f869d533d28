/** The connections from a node to its backend server: starts and aborts runs. */
import * as gateContract from '../../src/common/gate/gate_contract.js';
import * as invariants from '../../src/common/invariants.js';
import * as peer from '../../src/generated/peer.js';
import * as randomSource from '../../src/common/random_source.js';
import * as virtualServiceClock from './virtual_service_clock.js';
import * as virtualServiceServer from './virtual_service_server.js';

/** A `run` action of the gate. */
export type RunAction = Extract<
  gateContract.GateAction,
  {readonly kind: 'run'}
>;

/** Delay from the backend server to the node beside it. */
const LOCAL_DELAY_MS = 0.1;
/** The Retry-After of a server that sheds load. */
const SHED_RETRY_AFTER_MS = 100;

/** Body of the answer to a request body; the audit compares it to detect foreign answers. */
export function answerTo(body: Uint8Array): Buffer {
  return Buffer.from(`answer to ${Buffer.from(body).toString()}`);
}

/** Starts runs on the backend server and reports their results to the gate. */
export class ServerRunner {
  /** Share of runs over reused connections that get no answer. */
  silentShare = 0;
  private readonly runs = new Map<string, number>();
  private generation = 0;

  constructor(
    private readonly server: virtualServiceServer.VirtualServer,
    private readonly clock: virtualServiceClock.VirtualClock,
    private readonly random: randomSource.RandomSource,
    private readonly sendToGate: (event: gateContract.GateEvent) => void,
  ) {}

  start(action: RunAction): void {
    const name = `${action.call.callId}/${action.run}`;
    const isSilent =
      !action.freshConnection && this.random.next() < this.silentShare;
    const generation = this.generation;
    const runId = this.server.begin(result => {
      this.runs.delete(name);
      if (isSilent) return;
      this.clock.after(LOCAL_DELAY_MS, () => {
        if (generation === this.generation) this.report(action, result);
      });
    });
    this.runs.set(name, runId);
  }

  abort(callId: string, run: number): void {
    const name = `${callId}/${run}`;
    const runId = this.runs.get(name);
    if (runId === undefined) return;
    this.runs.delete(name);
    this.server.abort(runId);
  }

  /** Breaks all connections; their runs report no result. */
  abortAll(): void {
    this.generation++;
    for (const runId of this.runs.values()) this.server.abort(runId);
    this.runs.clear();
  }

  private report(
    action: RunAction,
    result: virtualServiceServer.RunResult,
  ): void {
    const {call, run} = action;
    const ids = {callId: call.callId, run};
    switch (result.kind) {
      case 'answered':
        return this.sendToGate({
          kind: 'server-answered',
          ...ids,
          status: result.status,
          headers: [],
          body: answerTo(call.body),
        });
      case 'shed':
        return this.sendToGate({
          kind: 'server-failed',
          ...ids,
          failure: {kind: 'shed', retryAfterMs: SHED_RETRY_AFTER_MS},
        });
      case 'not-sent':
      case 'broken':
      case 'bad-answer':
        return this.sendToGate({
          kind: 'server-failed',
          ...ids,
          failure: result,
        });
      default:
        return invariants.assertNever(result);
    }
  }
}

/** Whether a request kills the backend server that runs it. */
export function isCrashing(call: peer.CallRequest): boolean {
  return call.path.startsWith(CRASHING_PATH);
}

/** Path of requests that kill the backend server. */
export const CRASHING_PATH = '/crash';
