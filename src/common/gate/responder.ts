/** Sends the answers and refusals of a gate, with its load and configuration revision. */
import * as peer from '../../generated/peer.js';
import * as counterNames from '../counter_names.js';
import * as units from '../units.js';
import * as callRecord from './call_record.js';
import * as gateContract from './gate_contract.js';
import * as gateOptions from './gate_options.js';

/** Source of the load data attached to each reply. */
export interface LoadSource {
  /** Current load of this gate. */
  loadReport(now: units.Instant): peer.LoadReport;

  /** Siblings that reported free capacity, best first. */
  alternatives(now: units.Instant): readonly peer.Alternative[];

  /** Time after which to retry, for a refusal that sets none. */
  retryAfterMs(reason: peer.RefusalReason): units.Millis;
}

/** Callback that receives the actions of a core in order. */
export type Emit = (action: gateContract.GateAction) => void;

/** Sends the results of calls to their sources. */
export class Responder {
  constructor(
    private readonly options: gateOptions.GateOptions,
    private readonly load: LoadSource,
    private readonly emit: Emit,
  ) {}

  /** Sends the result of a call as an answer or a refusal. */
  reply(
    source: gateContract.CallSource,
    callId: string,
    result: callRecord.CallResult,
    now: units.Instant,
  ): void {
    if (result.kind === 'answered') {
      this.answer(source, callId, result.answer, now);
    } else {
      this.refuse(source, callId, result.detail, now);
    }
  }

  private answer(
    source: gateContract.CallSource,
    callId: string,
    answer: callRecord.ServerAnswer,
    now: units.Instant,
  ): void {
    this.emit({
      kind: 'answer',
      source,
      answer: {
        callId,
        status: answer.status,
        headers: answer.headers,
        body: Buffer.from(answer.body),
        load: this.load.loadReport(now),
        configurationRevision: this.revision,
      },
    });
  }

  private refuse(
    source: gateContract.CallSource,
    callId: string,
    detail: callRecord.RefusalDetail,
    now: units.Instant,
  ): void {
    const {reason, outcome} = detail;
    this.options.counters.increment(counterNames.refusalCounter(reason));
    const notRun = outcome === peer.Outcome.NOT_RUN;
    this.emit({
      kind: 'refuse',
      source,
      refusal: {
        callId,
        reason,
        outcome,
        retryAfterMs: Math.ceil(
          detail.retryAfterMs ?? this.load.retryAfterMs(reason),
        ),
        alternatives: notRun ? this.load.alternatives(now) : [],
        load: this.load.loadReport(now),
        configurationRevision: this.revision,
        serverDied: detail.serverDied ?? false,
      },
    });
  }

  private get revision(): number {
    return this.options.view.configuration?.revision ?? 0;
  }
}
