/** Connects the quotas of workspaces to links, configuration and the list of nodes. */
import * as quotaEntry from '../../common/quotas/quota_entry.js';
import * as quotaMembers from '../../common/quotas/quota_members.js';
import * as tokenOwner from '../../common/quotas/token_owner.js';
import * as entryCall from '../../common/serving/entry_call.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as randomSource from '../../common/random_source.js';
import * as units from '../../common/units.js';
import * as workspace from '../../common/workspaces/workspace.js';
import * as serving from '../../generated/serving.js';
import * as clock from '../clock.js';
import * as fleetDirectory from './fleet_directory.js';
import * as platformAdapter from './platform_adapter.js';
import * as telemetry from './telemetry.js';

/** Time without a frame after which a node is pinged when another one may be unreachable. */
const PROBE_QUIET_MS: units.Millis = 200;

/** Minimum time between such probes of all nodes. */
const PROBE_INTERVAL_MS: units.Millis = 1_000;

/** Links to other nodes, as far as quotas need them. */
export interface QuotaLinks {
  isUp(nodeId: string): boolean;
  isMaybeUnreachable(nodeId: string): boolean;
  requestTokens(nodeId: string, request: serving.TokenRequest): void;
  probeAll(quietMs: units.Millis): void;
}

/** Settings and dependencies of `QuotaRuntime`. */
export interface QuotaRuntimeOptions {
  readonly bounds: platformAdapter.QuotaBounds;
  readonly intent: operatorIntent.OperatorIntent;
  readonly directory: fleetDirectory.FleetDirectory;
  readonly random: randomSource.RandomSource;
  readonly log: telemetry.Telemetry;
  readonly links: () => QuotaLinks;
  /** A request that waited was admitted. */
  admit(requestId: number): void;
  /** A request that waited was refused. */
  refuse(requestId: number, retryAfterMs: units.Millis): void;
  /** Called after each event that changes when `tick` is due. */
  afterEvent(): void;
}

/** Runs the quotas of one node, as owner and as entry. */
export class QuotaRuntime implements Disposable {
  private readonly members: quotaMembers.QuotaMembers;
  private readonly owner: tokenOwner.TokenOwner;
  private readonly entry: quotaEntry.QuotaEntry;
  private readonly subscriptions: readonly Disposable[];
  private quotas: ReadonlyMap<string, workspace.Quota> = new Map();
  private probedMs: units.MonotonicMs = -Infinity;

  constructor(private readonly options: QuotaRuntimeOptions) {
    const {directory, bounds, random, log, links} = options;
    this.members = new quotaMembers.QuotaMembers(directory.self.nodeId, {
      reaches: nodeId =>
        links().isUp(nodeId) && !links().isMaybeUnreachable(nodeId),
    });
    this.owner = new tokenOwner.TokenOwner({
      members: this.members,
      slack: bounds.slack,
      quotaOf: name => this.quotas.get(name),
    });
    this.entry = new quotaEntry.QuotaEntry({
      members: this.members,
      owner: this.owner,
      random,
      log,
      overageMs: bounds.overage * bounds.windowMs,
      output: {
        flushSoon: () => void setImmediate(() => this.flush()),
        ask: (nodeId, request) => links().requestTokens(nodeId, request),
        admit: id => options.admit(id),
        refuse: (id, retryAfterMs) => options.refuse(id, retryAfterMs),
      },
    });
    log.setWorkspaceUses(() => this.entry.uses(clock.monotonicMs()));
    this.subscriptions = [
      directory.onChanged(({nodeId}) =>
        this.members.add(nodeId, clock.monotonicMs()),
      ),
      directory.onRemoved(nodeId => this.members.remove(nodeId)),
    ];
  }

  /** Returns the verdict on a request that should be answered within `objectiveLeftMs`. */
  onRequest(
    request: entryCall.CallerRequest,
    objectiveLeftMs: units.Millis,
  ): quotaEntry.Verdict {
    const {workspace: caller, id, requestId} = request;
    if (caller?.quota === undefined) return {kind: 'admitted'};
    const maxWaitMs = quotaEntry.maxWaitMs(objectiveLeftMs);
    const item = {id, requestId, workspace: caller, maxWaitMs};
    return this.entry.onRequest(item, clock.monotonicMs());
  }

  /** Removes a request whose caller has left. */
  onCallerGone(requestId: number): void {
    this.entry.onGone(requestId);
  }

  /** Handles the end of a request. */
  onEnded(requestId: number, hasRun: boolean): void {
    this.entry.onEnded(requestId, hasRun, clock.monotonicMs());
  }

  /** Handles the answer of an owner. */
  onTokenGrant(nodeId: string, grant: serving.TokenGrant): void {
    this.entry.onGrant(nodeId, grant, clock.monotonicMs());
  }

  /** Answers an entry that asks for tokens. */
  onTokenRequest(request: serving.TokenRequest): serving.TokenGrant {
    return this.owner.onTokenRequest(request, clock.monotonicMs());
  }

  /** Applies the configuration in force. */
  onIntentChanged(): void {
    const {workspaces = []} = this.options.intent.configuration?.document ?? {};
    this.quotas = new Map(
      workspaces.flatMap(({name, quota}) => (quota ? [[name, quota]] : [])),
    );
    this.owner.onConfiguration();
  }

  /** Handles the end of the first read of the list of nodes. */
  onListRead(): void {
    this.members.onListRead(clock.monotonicMs());
  }

  /** Handles the loss of a node, or the first sign of it. */
  onLost(nodeId: string): void {
    const now = clock.monotonicMs();
    this.members.onLost(nodeId, now);
    if (this.quotas.size === 0 || now - this.probedMs < PROBE_INTERVAL_MS) {
      return;
    }
    this.probedMs = now;
    // A partition shows at one link first; the share that this node reaches is needed soon.
    this.options.links().probeAll(PROBE_QUIET_MS);
  }

  /** Handles the pulse of a node. */
  onPulse(nodeId: string, pulse: serving.Pulse): void {
    const isStopping = pulse.load?.closure === serving.Closure.NODE_STOPPING;
    this.members.onStopping(nodeId, isStopping);
  }

  /** Handles the end of a pause of the process. */
  onResumed(): void {
    this.owner.onResumed(clock.monotonicMs());
  }

  /** Time at which `tick` must be called next. */
  nextWakeMs(): units.MonotonicMs {
    return this.entry.nextWakeMs();
  }

  /** Ends the waits whose time is over. */
  tick(now: units.MonotonicMs): void {
    this.entry.tick(now);
  }

  [Symbol.dispose](): void {
    for (const subscription of this.subscriptions) {
      subscription[Symbol.dispose]();
    }
  }

  private flush(): void {
    this.entry.flush(clock.monotonicMs());
    this.options.afterEvent();
  }
}
