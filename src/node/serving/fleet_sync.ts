/** Keeps this node's view of the operators' intent and the fleet up to date. */
import * as crashSuspects from '../../common/serving/crash_suspects.js';
import * as decision from '../../common/serving/decision.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as rolloutMessage from '../../common/rollouts/rollout_message.js';
import * as peerConfiguration from './peer_configuration.js';
import * as platformAdapter from './platform_adapter.js';
import * as fleetDirectory from './fleet_directory.js';

/** Time that a node which reads the store waits for newer records before it asks a peer. */
export const READER_REQUEST_DELAY_MS: units.Millis = 150;

/**
 * Time that a node waits for newer state from its own data centre before it asks a peer in another
 * one, as traffic between data centres is expensive.
 */
export const DATA_CENTRE_REQUEST_DELAY_MS: units.Millis = 250;

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

/** What a peer's pulse tells of the intent that it knows. */
export type PeerIntent = Pick<
  serving.Pulse,
  'intentEra' | 'intentOffset' | 'configurationVersion' | 'holdsLostRecords'
>;

/** Merges records of the store and the state of peers; the newest position wins. */
export class FleetSync {
  /** Peers with newer state, and when each was first seen with it. */
  private readonly aheadSinceMs = new Map<string, units.MonotonicMs>();
  private requestedMs = -Infinity;
  /** Era of the newest state taken from a peer. */
  private peerStateEra = -1;

  constructor(private readonly options: FleetSyncOptions) {}

  /** Applies the newest record of each key of the operators' topic. */
  onOperatorsSnapshot({
    records,
    era,
    endOffset,
  }: platformAdapter.NewestRecords): void {
    const {intent, nowMs} = this.options;
    const changes = records.flatMap(record => this.decode(record));
    const dataCentres = changes.flatMap(change =>
      change.kind === 'data-centre' ? [change] : [],
    );
    const rollouts = changes.flatMap(change =>
      change.kind === 'rollout' ? [change] : [],
    );
    const documents = changes.flatMap(change =>
      change.kind === 'configuration' ? [change.document] : [],
    );
    const position = {era, offset: endOffset - 1};
    const document = documents.at(0);
    const snapshot = {document, dataCentres, rollouts, position};
    this.onIntentApplied(intent.applySnapshot(snapshot, nowMs()), 'store');
  }

  /** Applies a record of the operators' topic. */
  onOperatorsRecord(record: platformAdapter.StoreRecord): void {
    // Past an unreadable record the position must advance too, as the store's end does.
    const {position} = record;
    const [change = {kind: 'other', position} as const] = this.decode(record);
    const {intent, nowMs} = this.options;
    this.onIntentApplied(intent.applyChange(change, nowMs()), 'store');
  }

  /** Handles a peer's pulse; requests its state if newer records do not arrive otherwise. */
  onPeerIntent(nodeId: string, peer: PeerIntent): void {
    if (!this.isAhead(peer)) return;
    this.aheadSinceMs.set(
      nodeId,
      this.aheadSinceMs.get(nodeId) ?? this.options.nowMs(),
    );
    this.tick();
  }

  /**
   * Requests the state of a peer that is ahead once its delay has passed, and ends the hold of lost
   * records.
   */
  tick(): void {
    const now = this.options.nowMs();
    const {intent} = this.options;
    if (intent.expire(now)) this.onIntentApplied(true, 'hold of lost records');
    if (this.aheadSinceMs.size === 0) return;
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
    if (state.intentOffset === 0) return;
    const snapshot = intentSnapshotOf(state);
    if (snapshot === undefined) {
      this.note('peer-state-unreadable', {nodeId});
      return;
    }
    this.peerStateEra = Math.max(this.peerStateEra, state.intentEra);
    this.onIntentApplied(intent.applySnapshot(snapshot, now), nodeId);
  }

  /** Returns the state for a peer that is behind. */
  state(): serving.FleetState {
    const {intent, directory, suspects} = this.options;
    const now = this.options.nowMs();
    const {document, dataCentres, rollouts = []} = intent.toSnapshot(now);
    const {intentEra, intentOffset} = this.ownIntent();
    return {
      configurationJson: document === undefined ? '' : JSON.stringify(document),
      intentEra,
      intentOffset,
      dataCentres: dataCentres.map(
        ({dataCentre, out, position, heldMs = 0}) => ({
          dataCentre,
          out,
          ...position,
          heldMs: Math.ceil(heldMs),
        }),
      ),
      rollouts: rollouts.map(record => rolloutMessage.encode(record)),
      nodes: [directory.self, ...directory.others],
      suspects: suspects.list(now),
    };
  }

  /**
   * What this node's pulses tell of its intent. The offset is sent plus one, so that it is never
   * negative, and 0 if no intent is known.
   */
  ownIntent(): PeerIntent {
    const {intent, nowMs} = this.options;
    return {
      intentEra: intent.position.era,
      intentOffset: intent.isKnown ? intent.position.offset + 1 : 0,
      configurationVersion: intent.configuration?.version ?? 0,
      holdsLostRecords: intent.holdsLostRecords(nowMs()),
    };
  }

  /** Whether a peer knows records, a version or a lost record that this node does not know. */
  private isAhead(peer: PeerIntent): boolean {
    if (peer.intentOffset === 0) return false;
    const own = this.ownIntent();
    if (peer.intentEra !== own.intentEra) return peer.intentEra > own.intentEra;
    return (
      peer.intentOffset > own.intentOffset ||
      peer.configurationVersion > own.configurationVersion ||
      (peer.holdsLostRecords && this.peerStateEra < peer.intentEra)
    );
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
      const {key, position} = record;
      const facts = {key, ...position, detail};
      this.note('operators-record-unreadable', facts);
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
      ...intent.position,
      holdsLostRecords: intent.holdsLostRecords(this.options.nowMs()),
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
  const {configurationJson, intentEra, intentOffset} = state;
  try {
    const document =
      configurationJson === ''
        ? undefined
        : peerConfiguration.parse(configurationJson);
    const dataCentres = state.dataCentres.map(
      ({dataCentre, out, era, offset, heldMs}) => ({
        dataCentre,
        out,
        position: {era, offset},
        heldMs,
      }),
    );
    const rollouts = state.rollouts.map(record =>
      rolloutMessage.decode(record),
    );
    const position = {era: intentEra, offset: intentOffset - 1};
    return {document, dataCentres, rollouts, position};
  } catch {
    return undefined;
  }
}
