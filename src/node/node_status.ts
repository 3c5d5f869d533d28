/** Status that a node serves to operators and peers. */
import * as controlContract from '../common/control/control_contract.js';
import * as fleetView from '../common/control/fleet_view.js';
import * as entryCore from '../common/entry/entry_core.js';
import * as peer from '../generated/peer.js';
import * as settings from '../generated/settings.js';
import * as operatorContract from './operator_contract.js';
import * as serverState from './server_state.js';

/** Parts of the node that supply the status. */
export interface StatusSources {
  readonly settings: settings.Settings;
  readonly view: fleetView.FleetView;
  readonly server: serverState.ServerState;
  load(): peer.LoadReport;
  counters(): Readonly<Record<string, number>>;
  explain(service: string): entryCore.EntryExplanation;
  peerState(fromOffset: number | undefined): controlContract.PeerState;
}

/** Implements the procedures of the operator port. */
export class NodeStatusService implements operatorContract.OperatorService {
  constructor(private readonly sources: StatusSources) {}

  status(): operatorContract.NodeStatus {
    const {settings: own, view, server} = this.sources;
    const {user, system} = process.cpuUsage();
    return {
      nodeId: own.nodeId,
      dataCentre: own.dataCentre,
      region: own.region,
      service: own.service,
      serverState: server.current,
      configurationRevision: view.configuration?.revision,
      rosterOffset: view.rosterOffset,
      stale: view.stale,
      load: this.sources.load(),
      members: this.members(),
      counters: this.sources.counters(),
      residentBytes: process.memoryUsage.rss(),
      processorUs: user + system,
    };
  }

  configuration(): operatorContract.ConfigurationStatus | undefined {
    const cfg = this.sources.view.configuration;
    return cfg && {revision: cfg.revision, configuration: cfg.document};
  }

  explain(service: string): entryCore.EntryExplanation {
    return this.sources.explain(service);
  }

  peerState(fromOffset: number | undefined): controlContract.PeerState {
    return this.sources.peerState(fromOffset);
  }

  private members(): readonly operatorContract.MemberStatus[] {
    const {settings: own, view} = this.sources;
    const services = view.configuration?.document.services ?? [];
    const serviceNames = new Set([own.service, ...services.map(s => s.name)]);
    return [...serviceNames].flatMap(name =>
      view.membersOf(name).map(m => this.memberStatus(m)),
    );
  }

  private memberStatus(
    view: fleetView.MemberView,
  ): operatorContract.MemberStatus {
    const {member, roster, provisional} = view;
    const cfg = this.sources.view.configuration;
    return {
      nodeId: member.nodeId,
      service: member.service,
      dataCentre: member.dataCentre,
      region: member.region,
      address: `${member.ip}:${member.httpPort}`,
      roster,
      liveness: livenessName(view.liveness),
      provisional,
      out:
        cfg !== undefined &&
        (cfg.isDataCentreOut(member.dataCentre) ||
          cfg.isServerOut(member.nodeId)),
    };
  }
}

function livenessName(state: peer.LivenessState): 'alive' | 'suspect' | 'dead' {
  switch (state) {
    case peer.LivenessState.SUSPECT:
      return 'suspect';
    case peer.LivenessState.DEAD:
      return 'dead';
    case peer.LivenessState.ALIVE:
    case peer.LivenessState.UNSPECIFIED:
    case peer.LivenessState.UNRECOGNIZED:
      return 'alive';
  }
}
