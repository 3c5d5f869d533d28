/** Interfaces between the parts of a node and its cores. */
import * as control from '../common/control/control_contract.js';
import * as core from '../common/core.js';
import * as entry from '../common/entry/entry_contract.js';
import * as gate from '../common/gate/gate_contract.js';

/** Accepts events for the cores. */
export interface CoreInputs {
  toEntry(event: entry.EntryEvent): void;
  toGate(event: gate.GateEvent): void;
  toControl(event: control.ControlEvent): void;
}

/** The cores of a node, its decision logic. */
export interface NodeCores {
  readonly entry: core.Core<entry.EntryEvent, entry.EntryAction>;
  readonly gate: core.Core<gate.GateEvent, gate.GateAction>;
  readonly control: core.Core<control.ControlEvent, control.ControlAction>;
}
