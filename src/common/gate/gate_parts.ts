/** Components shared by the steps of a gate. */
import * as admission from '../admission/admission.js';
import * as callTable from './call_table.js';
import * as callRecord from './call_record.js';
import * as gateReadiness from './gate_readiness.js';
import * as gateOptions from './gate_options.js';
import * as responder from './responder.js';
import * as runSupervisor from './run_supervisor.js';
import * as siblingLoads from './sibling_loads.js';

/** Shared components of a gate, which hold its state. */
export interface GateParts {
  readonly options: gateOptions.GateOptions;
  readonly calls: callTable.CallTable;
  readonly runs: runSupervisor.RunSupervisor;
  readonly readiness: gateReadiness.GateReadiness;
  readonly admission: admission.Admission<callRecord.CallRecord>;
  readonly responder: responder.Responder;
  readonly siblings: siblingLoads.SiblingLoads;
}

/** Creates the components of a gate. */
export function createParts(
  options: gateOptions.GateOptions,
  load: responder.LoadSource,
  emit: responder.Emit,
): GateParts {
  const runs = new runSupervisor.RunSupervisor(options, emit);
  const readiness = new gateReadiness.GateReadiness(options);
  return {
    options,
    calls: new callTable.CallTable(options.bounds.calls),
    runs,
    readiness,
    admission: new admission.Admission({
      random: options.random,
      tuning: () => gateOptions.currentTuning(options),
      slots: () => readiness.slots,
      inFlight: () => runs.inFlight,
    }),
    responder: new responder.Responder(options, load, emit),
    siblings: new siblingLoads.SiblingLoads(options),
  };
}
