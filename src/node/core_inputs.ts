/** Interfaces between the parts of a node and its cores. */
import * as controlContract from '../common/control/control_contract.js';
import * as core from '../common/core.js';
import * as entryContract from '../common/entry/entry_contract.js';
import * as gateContract from '../common/gate/gate_contract.js';

/** Accepts events for the cores. */
export interface CoreInputs {
  toEntry(event: entryContract.EntryEvent): void;
  toGate(event: gateContract.GateEvent): void;
  toControl(event: controlContract.ControlEvent): void;
}

/** The cores of a node, its decision logic. */
export interface NodeCores {
  readonly entry: core.Core<
    entryContract.EntryEvent,
    entryContract.EntryAction
  >;
  readonly gate: core.Core<gateContract.GateEvent, gateContract.GateAction>;
  readonly control: core.Core<
    controlContract.ControlEvent,
    controlContract.ControlAction
  >;
}
