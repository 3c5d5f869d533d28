/** Bounds the memory of the bodies at a gate. */
import * as serving from '../../generated/serving.js';
import * as gateCall from './gate_call.js';
import * as gateOptions from './gate_options.js';
import * as gateReplies from './gate_replies.js';

/**
 * Takes the memory of requests from other nodes. Bodies of the same node's callers are counted
 * where they are read.
 */
export class GateBodies {
  constructor(
    private readonly options: Pick<gateOptions.GateOptions, 'bodyMemory'>,
    private readonly replies: gateReplies.GateReplies,
  ) {}

  /** Takes the memory of a body; returns why the request is refused if there is not enough. */
  take(call: gateCall.GateCall): serving.Reason | undefined {
    const {bodyMemory} = this.options;
    const {length} = call.dispatch.body;
    if (!call.isRemote || bodyMemory === undefined) return undefined;
    if (call.lacksBody || !bodyMemory.take(length)) return this.noMemory(call);
    call.bodyBytes = length;
    return undefined;
  }

  /** Gives back the memory of a request that has ended. */
  giveBack(call: gateCall.GateCall): void {
    this.options.bodyMemory?.giveBack(call.bodyBytes);
  }

  /** Notes a request that is turned away and returns the reason to state. */
  private noMemory(call: gateCall.GateCall): serving.Reason {
    const {usedBytes, maxBytes} = this.options.bodyMemory ?? {};
    this.replies.note(call, 'notable', 'body-refused', {usedBytes, maxBytes});
    return call.dispatch.redirectable
      ? serving.Reason.FULL
      : serving.Reason.OVERLOADED;
  }
}
