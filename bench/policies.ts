/** Policies that the load tool compares: selectors of entries combined with gates. */
import * as entryCore from '../src/common/entry/entry_core.js';
import * as gateCore from '../src/common/gate/gate_core.js';
import * as settings from '../src/generated/settings.js';
import * as virtualService from '../test/fakes/virtual_service.js';
import * as virtualServiceNode from '../test/fakes/virtual_service_node.js';
import * as plainGate from './plain_gate.js';

/** A selector of backend servers, with the gate that admits requests to them. */
export interface Policy {
  readonly name: string;
  readonly selector: settings.Settings['selector'];
  readonly cores: virtualService.CoreFactory;
}

/** Most open calls of an entry, and of a gate. */
const MAX_CALLS = 4_096;
const PLAIN_GATE_SUFFIX = '+plain-gate';

const SELECTORS: readonly settings.Settings['selector'][] = [
  {kind: 'redirect'},
  {kind: 'in-band'},
  {kind: 'least-in-flight'},
  {kind: 'round-robin'},
  {kind: 'random'},
];

function buildEntry(
  ctx: virtualService.CoreContext,
): virtualServiceNode.NodeCores['entry'] {
  return new entryCore.EntryCore({
    ...ctx.member,
    selector: ctx.selector,
    maxCalls: MAX_CALLS,
    view: ctx.view,
    counters: ctx.counters,
    invariants: ctx.invariants,
    random: ctx.random,
  });
}

function buildGate(
  ctx: virtualService.CoreContext,
): virtualServiceNode.NodeCores['gate'] {
  return new gateCore.GateCore({
    ...ctx.member,
    bounds: {calls: MAX_CALLS},
    view: ctx.view,
    counters: ctx.counters,
    invariants: ctx.invariants,
    random: ctx.random,
  });
}

/** Builds the product's entry core, and its gate core if the node has a backend server. */
export function buildProductCores(
  ctx: virtualService.CoreContext,
): virtualServiceNode.NodeCores {
  const entry = buildEntry(ctx);
  return ctx.hasServer ? {entry, gate: buildGate(ctx)} : {entry};
}

function buildPlainGateCores(
  ctx: virtualService.CoreContext,
): virtualServiceNode.NodeCores {
  const entry = buildEntry(ctx);
  return ctx.hasServer ? {entry, gate: new plainGate.PlainGate()} : {entry};
}

/** All policies: each selector with the gate of the product and with the baseline gate. */
export const POLICIES: readonly Policy[] = SELECTORS.flatMap(selector => [
  {name: selector.kind, selector, cores: buildProductCores},
  {
    name: selector.kind + PLAIN_GATE_SUFFIX,
    selector,
    cores: buildPlainGateCores,
  },
]);

/** Names of the policies to run if the command line names none. */
export const DEFAULT_POLICIES: readonly string[] = [
  'redirect',
  'in-band',
  'least-in-flight',
  'random',
  'random+plain-gate',
];

/** Returns the policy with this name, or undefined if there is none. */
export function findPolicy(name: string): Policy | undefined {
  return POLICIES.find(p => p.name === name);
}
