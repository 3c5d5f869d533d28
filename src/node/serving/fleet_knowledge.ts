/** What this node learns of operators' intent and of the fleet, from the store and from peers. */
import * as crashSuspects from '../../common/serving/crash_suspects.js';
import * as decision from '../../common/serving/decision.js';
import * as configuration from '../../common/serving/configuration.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as dialect from './dialect.js';
import * as fleetDirectory from './fleet_directory.js';

/** Time that the store has to tell a reader what a peer knows already. */
const READER_LEAD_MS: units.Millis = 150;

/** Time that nodes of the same data centre have to tell it, as bytes between them are dear. */
const NEAR_LEAD_MS: units.Millis = 250;

/** Least time between two requests for a peer's state. */
const STATE_INTERVAL_MS: units.Millis = 400;

/** What knowledge is made with. */
export interface FleetKnowledgeOptions {
  readonly intent: operatorIntent.OperatorIntent;
  readonly suspects: crashSuspects.CrashSuspects;
  readonly directory: fleetDirectory.FleetDirectory;
  readonly decoder: dialect.IntentDecoder;
  readonly log: decision.DecisionLog;
  readonly onIntentChanged: () => void;
  /** Whether this node reads the operators' records itself. */
  readonly isReader: () => boolean;
  readonly requestState: (nodeId: string) => void;
  nowMs(): units.MonotonicMs;
}

/** Takes records of the store and states of peers into one view. */
export class FleetKnowledge {
  /** Peers that know more, and since when they are known to. */
  private readonly aheadSinceMs = new Map<string, units.MonotonicMs>();
  private requestedMs = -Infinity;

  constructor(private readonly options: FleetKnowledgeOptions) {}

  /** Takes the newest records of the operators' topic. */
  onOperatorsNewest({records, endOffset}: dialect.NewestRecords): void {
    const {intent} = this.options;
    const changes = records.flatMap(record => this.decode(record));
    const outs = changes.flatMap(change =>
      change.kind === 'data-centre' && change.out ? [change.dataCentre] : [],
    );
    const documents = changes.flatMap(change =>
      change.kind === 'configuration' ? [change.document] : [],
    );
    const offset = endOffset - 1;
    const whole = {document: documents.at(0), dataCentresOut: outs, offset};
    this.noteIntent(intent.applyWhole(whole), 'store');
  }

  /** Takes a record of the operators' topic. */
  onOperatorsRecord(record: dialect.StoreRecord): void {
    const [change] = this.decode(record);
    if (change === undefined) return;
    this.noteIntent(this.options.intent.applyChange(change), 'store');
  }

  /**
   * Takes a peer's version; asks for its state if the store does not bring what it knows.
   *
   * @param shiftedOffset as told by `shiftedOffset` there.
   */
  onPeerOffset(nodeId: string, shiftedOffset: number): void {
    if (shiftedOffset <= this.shiftedOffset) return;
    this.aheadSinceMs.set(
      nodeId,
      this.aheadSinceMs.get(nodeId) ?? this.options.nowMs(),
    );
    this.tick();
  }

  /** Asks a peer that knows more for its state, once cheaper sources have had their time. */
  tick(): void {
    if (this.aheadSinceMs.size === 0) return;
    const now = this.options.nowMs();
    if (now - this.requestedMs < STATE_INTERVAL_MS) return;
    for (const [nodeId, sinceMs] of this.aheadSinceMs) {
      if (now - sinceMs < this.leadMs(nodeId)) continue;
      this.requestedMs = now;
      // A peer that does not answer is asked again when it tells its offset again.
      this.aheadSinceMs.delete(nodeId);
      this.options.requestState(nodeId);
      return;
    }
  }

  /** Takes a peer's state. */
  onState(nodeId: string, state: serving.FleetState): void {
    const {intent, directory, suspects} = this.options;
    const now = this.options.nowMs();
    for (const record of state.nodes) directory.put(record);
    for (const suspect of state.suspects) suspects.onReport(suspect, now);
    const whole = wholeIntentOf(state);
    if (whole === undefined) {
      this.note('peer-state-unreadable', {nodeId});
      return;
    }
    this.noteIntent(intent.applyWhole(whole), nodeId);
  }

  /** Returns the state for a peer that is behind. */
  state(): serving.FleetState {
    const {intent, directory, suspects} = this.options;
    const {document, dataCentresOut} = intent.toWhole();
    return {
      configurationJson: document === undefined ? '' : JSON.stringify(document),
      dataCentresOut,
      intentOffset: this.shiftedOffset,
      nodes: [directory.self, ...directory.others],
      suspects: suspects.list(this.options.nowMs()),
    };
  }

  /** Offset to tell peers, shifted by one so that it is never negative. */
  get shiftedOffset(): number {
    const {intent} = this.options;
    return intent.isKnown ? intent.offset + 1 : 0;
  }

  /** Time to wait for a cheaper source than the peer. */
  private leadMs(nodeId: string): units.Millis {
    const {directory, isReader} = this.options;
    if (isReader()) return READER_LEAD_MS;
    const {dataCentre} = directory.self;
    return directory.get(nodeId)?.dataCentre === dataCentre ? 0 : NEAR_LEAD_MS;
  }

  private decode(
    record: dialect.StoreRecord,
  ): readonly operatorIntent.IntentChange[] {
    try {
      return [this.options.decoder.decode(record)];
    } catch (err) {
      const detail = err instanceof Error ? err.message : String(err);
      const {key, offset} = record;
      this.note('operators-record-unreadable', {key, offset, detail});
      return [];
    }
  }

  private noteIntent(changed: boolean, source: string): void {
    this.aheadSinceMs.clear();
    if (!changed) return;
    const {intent} = this.options;
    this.note('intent-in-force', {
      source,
      configuration: intent.configuration?.version,
      dataCentresOut: [...intent.dataCentresOut].join(','),
      offset: intent.offset,
    });
    this.options.onIntentChanged();
  }

  private note(event: string, facts: decision.Facts): void {
    decision.noteBelief(this.options.log, 'fleet', event, facts);
  }
}

function wholeIntentOf(
  state: serving.FleetState,
): operatorIntent.WholeIntent | undefined {
  const {configurationJson, dataCentresOut, intentOffset} = state;
  if (intentOffset === 0) {
    return {document: undefined, dataCentresOut: [], offset: -1};
  }
  try {
    const document =
      configurationJson === ''
        ? undefined
        : (JSON.parse(configurationJson) as configuration.FleetConfiguration);
    return {document, dataCentresOut, offset: intentOffset - 1};
  } catch {
    return undefined;
  }
}
