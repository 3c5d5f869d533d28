/** Runs one scenario on one deployment with one policy and seed, in virtual time. */
import * as generated from '../src/generated/configuration.js';
import * as entryContract from '../src/common/entry/entry_contract.js';
import * as randomSource from '../src/common/random_source.js';
import * as units from '../src/common/units.js';
import * as virtualService from '../test/fakes/virtual_service.js';
import * as virtualServiceAudit from '../test/fakes/virtual_service_audit.js';
import * as virtualServiceNode from '../test/fakes/virtual_service_node.js';
import * as virtualServiceRunner from '../test/fakes/virtual_service_runner.js';
import * as deployments from './deployments.js';
import * as policies from './policies.js';
import * as recorder from './recorder.js';
import * as result from './result.js';
import * as scenarios from './scenarios.js';

/** Inputs of an experiment; the same inputs give the same result. */
export interface ExperimentOptions {
  readonly deployment: deployments.Deployment;
  readonly scenario: scenarios.Scenario;
  readonly policy: policies.Policy;
  readonly seed: number;
}

/** Load at the start of the warm-up, as a share of the load of the scenario. */
const INITIAL_SHARE = 0.05;
/** Time after the measurement in which open requests may finish. */
const SETTLE_MS = 6_000;
const CRASHING_REQUEST_INTERVAL_MS = 4_000;
const MAX_CALLER_RETRIES = 5;
/** Delay before a caller sends an unanswered crashing request again. */
const CALLER_RETRY_DELAY_MS = 300;

/** Runs an experiment and returns its measurements. */
export function run(options: ExperimentOptions): result.RunResult {
  return new Experiment(options).run();
}

class Experiment {
  private readonly fleet: virtualService.VirtualFleet;
  private readonly audit: virtualServiceAudit.Audit;
  private readonly recorder: recorder.Recorder;
  private readonly random: randomSource.RandomSource;
  private readonly classes: ReadonlyMap<string, generated.RequestClass>;
  private readonly endMs: units.MonotonicMs;
  private received = 0;
  private dispatched = 0;
  private executed = 0;
  private isMeasuring = false;

  constructor(private readonly options: ExperimentOptions) {
    const {deployment, scenario, policy, seed} = options;
    const {configuration} = deployment.shape;
    this.random = new randomSource.SeededRandom(seed);
    this.recorder = new recorder.Recorder(
      scenario.phases,
      configuration.classes,
    );
    this.classes = new Map(configuration.classes.map(c => [c.name, c]));
    this.endMs = scenarios.WARM_UP_MS + scenarios.measuredDurationMs(scenario);
    this.audit = new virtualServiceAudit.Audit(() => this.fleet.clock.nowMs);
    this.fleet = new virtualService.VirtualFleet({
      shape: deployment.shape,
      seed,
      selector: policy.selector,
      cores: policy.cores,
      observer: {
        onDispatch: () => this.onDispatch(),
        onRun: (node, call) => {
          if (this.isMeasuring) this.executed++;
          this.audit.onRun(node, call);
        },
        onServerDeath: (unused, cause) => this.audit.onServerDeath(cause),
        onCoreError: (node, err) => this.audit.onCoreError(node, err),
      },
    });
  }

  run(): result.RunResult {
    const {deployment, scenario} = this.options;
    const {clock} = this.fleet;
    for (const service of new Set(deployment.traffic.map(t => t.service))) {
      this.scheduleNextArrival(
        service,
        deployments.serviceCapacityPerSecond(deployment, service),
      );
    }
    clock.at(scenarios.WARM_UP_MS, () => this.startMeasuring());
    clock.runUntil(this.endMs);
    this.isMeasuring = false;
    const {datagrams} = this.fleet.network;
    const {datagramBytes} = this.fleet;
    clock.runUntil(this.endMs + SETTLE_MS);
    this.audit.finish(this.fleet.nodes);
    const seconds = scenarios.measuredDurationMs(scenario) / 1_000;
    return this.buildResult(datagrams / seconds, datagramBytes / seconds);
  }

  private startMeasuring(): void {
    const {scenario, deployment} = this.options;
    this.isMeasuring = true;
    this.fleet.network.datagrams = 0;
    this.fleet.datagramBytes = 0;
    scenario.scheduleFaults({
      fleet: this.fleet,
      deployment,
      audit: this.audit,
      random: this.random,
    });
    if (scenario.sendsCrashingRequests) this.sendCrashingRequest();
  }

  private onDispatch(): void {
    if (this.isMeasuring) this.dispatched++;
  }

  private scheduleNextArrival(service: string, capacity: number): void {
    const {clock} = this.fleet;
    const arrivalsPerMs = (capacity * this.currentLoadShare()) / 1_000;
    clock.after(-Math.log(1 - this.random.next()) / arrivalsPerMs, () => {
      if (clock.nowMs >= this.endMs) return;
      this.onArrival(this.drawTraffic(service));
      this.scheduleNextArrival(service, capacity);
    });
  }

  private currentLoadShare(): number {
    const {load} = this.options.scenario;
    const progress = Math.min(1, this.fleet.clock.nowMs / scenarios.WARM_UP_MS);
    return load * (INITIAL_SHARE + (1 - INITIAL_SHARE) * progress ** 2);
  }

  private drawTraffic(service: string): deployments.Traffic {
    let remaining = this.random.next();
    const candidates = this.options.deployment.traffic.filter(
      t => t.service === service,
    );
    for (const t of candidates) {
      remaining -= t.share;
      if (remaining < 0) return t;
    }
    return candidates[candidates.length - 1];
  }

  private drawEntry(): virtualServiceNode.VirtualNode {
    const allNodes = this.fleet.nodes;
    for (;;) {
      const node = allNodes[this.random.nextInt(allNodes.length)];
      if (node.isUp) return node;
    }
  }

  private onArrival(traffic: deployments.Traffic): void {
    const {clock} = this.fleet;
    const {callerDelayMs} = this.options.deployment;
    const intendedMs = clock.nowMs;
    const request = this.buildRequest(traffic);
    if (this.isMeasuring) this.received++;
    clock.after(callerDelayMs, () => {
      this.submit(request, final => {
        clock.after(callerDelayMs, () => {
          const sinceStartMs = intendedMs - scenarios.WARM_UP_MS;
          const latencyMs = clock.nowMs - intendedMs;
          this.recorder.record(
            traffic.className,
            sinceStartMs,
            latencyMs,
            final,
          );
        });
      });
    });
  }

  private submit(
    request: entryContract.CallerRequest,
    onFinal: (final: virtualServiceNode.FinalResult) => void,
  ): void {
    const entry = this.drawEntry();
    this.audit.onSubmit(entry, request, request.requestClass.idempotent);
    entry.submit(request, final => {
      this.audit.onFinal(request.requestId, final);
      onFinal(final);
    });
  }

  private buildRequest(
    traffic: deployments.Traffic,
  ): entryContract.CallerRequest {
    const requestId = this.fleet.nextRequestId();
    const requestClass = this.classes.get(traffic.className)!;
    return {
      requestId,
      service: traffic.service,
      requestClass,
      method: traffic.method,
      path: traffic.path,
      headers: [],
      body: Buffer.from(requestId),
      deadlineMs: requestClass.deadlineMs,
      depth: 0,
      fingerprint: requestId,
    };
  }

  /** Sends requests that crash their backend server; callers retry them while not answered. */
  private sendCrashingRequest(): void {
    const {deployment} = this.options;
    const traffic = deployment.traffic.find(t => t.method === 'GET')!;
    const fingerprint = this.fleet.nextRequestId();
    this.sendCrashingAttempt(
      {
        ...traffic,
        path: `${virtualServiceRunner.CRASHING_PATH}/${fingerprint}`,
      },
      fingerprint,
      0,
    );
    this.fleet.clock.after(CRASHING_REQUEST_INTERVAL_MS, () => {
      if (this.isMeasuring) this.sendCrashingRequest();
    });
  }

  private sendCrashingAttempt(
    traffic: deployments.Traffic,
    fingerprint: string,
    attempt: number,
  ): void {
    if (attempt > MAX_CALLER_RETRIES) return;
    const request = {...this.buildRequest(traffic), fingerprint};
    this.submit(request, final => {
      if (final?.kind === 'respond') return;
      this.fleet.clock.after(CALLER_RETRY_DELAY_MS, () => {
        this.sendCrashingAttempt(traffic, fingerprint, attempt + 1);
      });
    });
  }

  private buildResult(
    noticesPerSecond: number,
    bytesPerSecond: number,
  ): result.RunResult {
    const {deployment, scenario, policy, seed} = this.options;
    const phases = this.recorder.results();
    const backendServers = this.fleet.nodes.flatMap(n =>
      n.server ? [n.server] : [],
    );
    const good = phases
      .flatMap(p => p.classes)
      .reduce((sum, c) => sum + c.good, 0);
    const breaches = this.audit.breaches;
    return {
      scenario: scenario.name,
      deployment: deployment.name,
      policy: policy.name,
      seed,
      load: scenario.load,
      phases,
      goodputPerSecond: good / (scenarios.measuredDurationMs(scenario) / 1_000),
      sentPerReceived: this.dispatched / this.received,
      runsPerReceived: this.executed / this.received,
      noticesPerNodeSecond: noticesPerSecond / backendServers.length,
      noticeBytesPerNodeSecond: bytesPerSecond / backendServers.length,
      coldBreaches: sum(backendServers.map(s => s.coldBreaches)),
      silentColdBreaches: sum(backendServers.map(s => s.silentColdBreaches)),
      slotBreaches: sum(backendServers.map(s => s.slotBreaches)),
      breaches: this.audit.counts(),
      examples: Object.fromEntries(
        [...breaches]
          .reverse()
          .map(b => [b.kind, `${Math.round(b.timeMs)} ms: ${b.detail}`]),
      ),
      counters: this.fleet.counters.snapshot(),
    };
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0);
}
