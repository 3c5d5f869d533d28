/** Keeps this node's view of the operators' intent and the fleet up to date. */
import * as crashSuspects from '../../common/serving/crash_suspects.js';
import * as decision from '../../common/serving/decision.js';
import * as configuration from '../../common/serving/configuration.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as platformAdapter from './platform_adapter.js';
import * as fleetDirectory from './fleet_directory.js';

/** Time that a node which reads the store waits for newer records before it asks a peer. */
const READER_REQUEST_DELAY_MS: units.Millis = 150;

/**
 * Time that a node waits for newer state from its own data centre before it asks a peer in another
 * one, as traffic between data centres is expensive.
 */
const DATA_CENTRE_REQUEST_DELAY_MS: units.Millis = 250;

/** Minimum time between two requests for peers' state. */
const MIN_REQUEST_INTERVAL_MS: units.Millis = 400;

/** Dependencies of `FleetSync`. */
export interface FleetSyncOptions {
  readonly intent: operatorIntent.OperatorIntent;
  readonly suspects: crashSuspects.CrashSuspects;
  readonly directory: fleetDirectory.FleetDirectory;
  readonly decoder: platformAdapter.IntentDecoder;
  readonly log: decision.DecisionLog;
  readonly onIntentChanged: () => void;
  /** Whether this node reads the operators' records from the store. */
  readonly isReader: () => boolean;
  readonly requestState: (nodeId: string) => void;
  nowMs(): units.MonotonicMs;
}

/** Merges records of the store and the state of peers; the newest offset wins. */
export class FleetSync {
  /** Peers with a newer offset, and when each was first seen with one. */
  private readonly aheadSinceMs = new Map<string, units.MonotonicMs>();
  private requestedMs = -Infinity;

  constructor(private readonly options: FleetSyncOptions) {}

  /** Applies the newest record of each key of the operators' topic. */
  onOperatorsSnapshot({
    records,
    endOffset,
  }: platformAdapter.NewestRecords): void {
    const {intent} = this.options;
    const changes = records.flatMap(record => this.decode(record));
    const dataCentresOut = changes.flatMap(change =>
      change.kind === 'data-centre' && change.out ? [change.dataCentre] : [],
    );
    const documents = changes.flatMap(change =>
      change.kind === 'configuration' ? [change.document] : [],
    );
    const offset = endOffset - 1;
    const snapshot = {document: documents.at(0), dataCentresOut, offset};
    this.onIntentApplied(intent.applySnapshot(snapshot), 'store');
  }

  /** Applies a record of the operators' topic. */
  onOperatorsRecord(record: platformAdapter.StoreRecord): void {
    const [change] = this.decode(record);
    if (change === undefined) return;
    this.onIntentApplied(this.options.intent.applyChange(change), 'store');
  }

  /**
   * Handles a peer's offset; requests its state if the newer records do not arrive otherwise.
   *
   * @param shiftedOffset the peer's `shiftedOffset`.
   */
  onPeerOffset(nodeId: string, shiftedOffset: number): void {
    if (shiftedOffset <= this.shiftedOffset) return;
    this.aheadSinceMs.set(
      nodeId,
      this.aheadSinceMs.get(nodeId) ?? this.options.nowMs(),
    );
    this.tick();
  }

  /** Requests the state of a peer with a newer offset once its delay has passed. */
  tick(): void {
    if (this.aheadSinceMs.size === 0) return;
    const now = this.options.nowMs();
    if (now - this.requestedMs < MIN_REQUEST_INTERVAL_MS) return;
    for (const [nodeId, sinceMs] of this.aheadSinceMs) {
      if (now - sinceMs < this.requestDelayMs(nodeId)) continue;
      this.requestedMs = now;
      // If the peer does not answer, its next pulse adds it again.
      this.aheadSinceMs.delete(nodeId);
      this.options.requestState(nodeId);
      return;
    }
  }

  /** Merges a peer's state. */
  onState(nodeId: string, state: serving.FleetState): void {
    const {intent, directory, suspects} = this.options;
    const now = this.options.nowMs();
    for (const record of state.nodes) directory.putReported(record);
    for (const suspect of state.suspects) suspects.onReport(suspect, now);
    const snapshot = intentSnapshotOf(state);
    if (snapshot === undefined) {
      this.note('peer-state-unreadable', {nodeId});
      return;
    }
    this.onIntentApplied(intent.applySnapshot(snapshot), nodeId);
  }

  /** Returns the state for a peer with an older offset. */
  state(): serving.FleetState {
    const {intent, directory, suspects} = this.options;
    const {document, dataCentresOut} = intent.toSnapshot();
    return {
      configurationJson: document === undefined ? '' : JSON.stringify(document),
      dataCentresOut,
      intentOffset: this.shiftedOffset,
      nodes: [directory.self, ...directory.others],
      suspects: suspects.list(this.options.nowMs()),
    };
  }

  /** Offset sent to peers: plus one, so that it is never negative; 0 if no intent is known. */
  get shiftedOffset(): number {
    const {intent} = this.options;
    return intent.isKnown ? intent.offset + 1 : 0;
  }

  /** Delay before a request to this peer, as cheaper sources may deliver the records first. */
  private requestDelayMs(nodeId: string): units.Millis {
    const {directory, isReader} = this.options;
    if (isReader()) return READER_REQUEST_DELAY_MS;
    const {dataCentre} = directory.self;
    return directory.get(nodeId)?.dataCentre === dataCentre
      ? 0
      : DATA_CENTRE_REQUEST_DELAY_MS;
  }

  private decode(
    record: platformAdapter.StoreRecord,
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

  private onIntentApplied(changed: boolean, source: string): void {
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
    decision.noteStateChange(this.options.log, 'fleet', event, facts);
  }
}

function intentSnapshotOf(
  state: serving.FleetState,
): operatorIntent.IntentSnapshot | undefined {
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
