/** Suspects the requests that were at work when the backend server died. */
import * as units from '../units.js';
import * as gateCall from './gate_call.js';
import * as gateOptions from './gate_options.js';
import * as gateReplies from './gate_replies.js';

/** Records deaths of the backend server and reports them to other nodes. */
export class ServerDeaths {
  /** Fingerprints of the requests that the last death has been recorded for. */
  private readonly diedTogether = new Set<string>();

  constructor(
    private readonly options: Pick<
      gateOptions.GateOptions,
      'suspects' | 'output'
    >,
    private readonly replies: gateReplies.GateReplies,
  ) {}

  /** Handles the start of a run: deaths from now on are others. */
  onRunStarted(): void {
    this.diedTogether.clear();
  }

  /** Records one death a request, however many callers had sent it to the server that died. */
  onDied(call: gateCall.GateCall, now: units.MonotonicMs): void {
    const {suspects, output} = this.options;
    const {fingerprint} = call.dispatch;
    if (this.diedTogether.has(fingerprint)) return;
    this.diedTogether.add(fingerprint);
    const suspicion = suspects.onDeath(fingerprint, now);
    const {deaths} = suspicion;
    this.replies.note(call, 'failure', 'server-died', {deaths});
    output.reportSuspect(suspicion);
  }

  /** Handles a successful answer; other nodes are told if the request was suspect. */
  onAnswered(fingerprint: string, now: units.MonotonicMs): void {
    const {suspects, output} = this.options;
    const cleared = suspects.onAnswered(fingerprint, now);
    if (cleared) output.reportSuspect(cleared);
  }
}
