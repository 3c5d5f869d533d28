/** The entry of a node with its surroundings: callers, and links to other nodes' gates. */
import * as entryModule from '../../common/serving/entry.js';
import * as gateReports from '../../common/serving/gate_reports.js';
import * as operatorIntent from '../../common/serving/operator_intent.js';
import * as placement from '../../common/serving/placement.js';
import * as randomSource from '../../common/random_source.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as clock from '../clock.js';
import * as requestFingerprint from '../request_fingerprint.js';
import * as resourceStack from '../resource_stack.js';
import * as callerPort from './caller_port.js';
import * as dialect from './dialect.js';
import * as fleetDirectory from './fleet_directory.js';
import * as fleetKnowledge from './fleet_knowledge.js';
import * as gateLinks from './gate_links.js';
import * as telemetry from './telemetry.js';

/** This node's own gate, as its entry uses it. */
export interface OwnGate {
  dispatch(dispatch: serving.Dispatch): void;
  withdraw(call: number): void;
  load(): serving.Load;
}

/** What the entry's side is made with. */
export interface EntrySideOptions {
  readonly service: () => string;
  readonly dataCentre: string;
  readonly http: dialect.HttpDialect;
  readonly bounds: dialect.FleetBounds;
  readonly intent: operatorIntent.OperatorIntent;
  readonly directory: fleetDirectory.FleetDirectory;
  readonly knowledge: () => fleetKnowledge.FleetKnowledge;
  readonly random: randomSource.RandomSource;
  readonly fingerprint: requestFingerprint.RequestFingerprint;
  readonly log: telemetry.Telemetry;
  readonly ownGate: OwnGate;
  greeting(toNodeId: string): serving.Greeting;
  onSuspect(suspect: serving.Suspect): void;
  /** Called after each event of the entry. */
  afterEvent(): void;
}

/** Joins the entry with sockets. */
export class EntrySide implements AsyncDisposable {
  readonly callers: callerPort.CallerPort;
  readonly links: gateLinks.GateLinks;
  private readonly entry: entryModule.Entry;
  /** Nodes that read the operators' records with success. */
  private readonly readers = new Set<string>();
  private readonly reports = new gateReports.GateReports();
  private readonly resources = new resourceStack.ResourceStack();

  constructor(private readonly options: EntrySideOptions) {
    this.links = this.resources.use(this.makeLinks());
    this.entry = this.makeEntry();
    this.callers = this.resources.use(this.makeCallerPort());
  }

  /** Whether a node is known to read the operators' records with success. */
  readsStore(nodeId: string): boolean {
    return this.readers.has(nodeId);
  }

  /** Next time at which `tick` has something to do. */
  nextWakeMs(): units.MonotonicMs {
    return this.entry.nextWakeMs();
  }

  /** Does what time has made due. */
  tick(now: units.MonotonicMs): void {
    this.entry.tick(now);
    this.links.tick(now);
  }

  /** Takes an answer of this node's own gate. */
  onOwnAnswer(answer: serving.Answer): void {
    this.entry.onAnswer(this.ownId, answer, clock.monotonicMs());
  }

  /** Takes a refusal of this node's own gate. */
  onOwnRefusal(refusal: serving.Refusal): void {
    this.entry.onRefusal(this.ownId, refusal, clock.monotonicMs());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  private get ownId(): string {
    return this.options.directory.self.nodeId;
  }

  private makeLinks(): gateLinks.GateLinks {
    const {directory, log, greeting, knowledge, onSuspect, afterEvent} =
      this.options;
    return new gateLinks.GateLinks({
      directory,
      log,
      greeting,
      nowMs: clock.monotonicMs,
      listener: {
        onDown: nodeId => {
          this.reports.forget(nodeId);
          this.readers.delete(nodeId);
        },
        onDoubtful: nodeId => {
          this.entry.onDoubtful(nodeId, clock.monotonicMs());
          afterEvent();
        },
        onAnswer: (nodeId, answer) => {
          this.entry.onAnswer(nodeId, answer, clock.monotonicMs());
          afterEvent();
        },
        onRefusal: (nodeId, refusal) => {
          this.entry.onRefusal(nodeId, refusal, clock.monotonicMs());
          afterEvent();
        },
        onPulse: (nodeId, pulse) => {
          this.reports.onLoad(nodeId, pulse.load, clock.monotonicMs());
          if (pulse.readsStore) this.readers.add(nodeId);
          else this.readers.delete(nodeId);
          knowledge().onPeerOffset(nodeId, pulse.intentOffset);
        },
        onState: (nodeId, state) => knowledge().onState(nodeId, state),
        onSuspect,
        onRequestLost: (nodeId, call) => {
          this.entry.onLinkFailed(nodeId, call, true, clock.monotonicMs());
          afterEvent();
        },
      },
    });
  }

  private makeEntry(): entryModule.Entry {
    const {dataCentre, directory, bounds, intent, random, log} = this.options;
    const {reports} = this;
    return new entryModule.Entry({
      intent,
      reports,
      placement: new placement.Placement({
        dataCentre,
        directory: {gatesOf: service => this.gatesOf(service)},
        reports,
        random,
      }),
      budget: {ratio: bounds.repeatRatio, slack: bounds.repeatSlack},
      nodeCount: () => directory.size,
      log,
      output: {
        dispatch: (nodeId, dispatch) => this.dispatch(nodeId, dispatch),
        withdraw: (nodeId, call) => this.withdraw(nodeId, call),
        respond: (id, answer) => this.callers.respond(id, answer),
        giveUp: (id, giveUp) => this.callers.giveUp(id, giveUp),
      },
    });
  }

  private makeCallerPort(): callerPort.CallerPort {
    const {http, service, fingerprint, intent, log, afterEvent} = this.options;
    return new callerPort.CallerPort({
      http,
      service,
      fingerprint,
      listener: {
        configuration: () => intent.configuration,
        onRequest: (request, route) => {
          const now = clock.monotonicMs();
          // The own gate's load is known exactly.
          const load = this.options.ownGate.load();
          this.reports.onLoad(this.ownId, load, now);
          this.entry.onRequest(request, route, now);
          afterEvent();
        },
        onCallerGone: id => {
          this.entry.onCallerGone(id, clock.monotonicMs());
          afterEvent();
        },
        onRefused: (requestId, reason) =>
          log.write({
            component: 'entry',
            event: 'refused-unread',
            importance: 'notable',
            requestId,
            facts: {reason, configuration: intent.configuration?.version},
          }),
      },
    });
  }

  private gatesOf(service: string): readonly placement.KnownGate[] {
    const {self, others} = this.options.directory;
    return [self, ...others]
      .filter(record => record.service === service)
      .map(({nodeId, dataCentre}) => ({
        nodeId,
        dataCentre,
        service,
        reachable: nodeId === self.nodeId || this.links.isUp(nodeId),
        doubtful: this.links.isDoubtful(nodeId),
      }));
  }

  private dispatch(nodeId: string, dispatch: serving.Dispatch): void {
    if (nodeId === this.ownId) this.options.ownGate.dispatch(dispatch);
    else this.links.dispatch(nodeId, dispatch);
  }

  private withdraw(nodeId: string, call: number): void {
    if (nodeId === this.ownId) this.options.ownGate.withdraw(call);
    else this.links.withdraw(nodeId, call);
  }
}
