/** Exceptions of the configuration as the commands make, end and list them. */
import * as operation from '../common/configuration/operation.js';
import * as logState from '../common/control/log_state.js';
import * as generated from '../generated/configuration.js';
import * as cliErrors from './cli_errors.js';

/** Longest id that the configuration's schema accepts. */
const MAX_ID_LENGTH = 63;

/** A data centre with its state. */
export interface DataCentreRow {
  readonly dataCentre: string;
  readonly servers: number;
  readonly out?: generated.DataCentreOut;
}

/** A backend server with its state. */
export interface ServerRow {
  readonly server: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly roster: 'joined' | 'leaving' | 'gone';
  readonly out?: generated.ServerOut;
}

/** Returns the id of the one exception of a kind and subject. */
export function exceptionId(
  kind: generated.Exception['kind'],
  subject: string,
): string {
  return `${kind}.${subject}`.slice(0, MAX_ID_LENGTH);
}

/** Data centres known by the roster or named by an exception. */
export function dataCentreRows(
  folded: logState.LogState,
): readonly DataCentreRow[] {
  const members = folded.roster.all();
  const outs = exceptionsOf(folded).filter(e => e.kind === 'data-centre-out');
  const names = new Set([
    ...members.map(m => m.member.dataCentre),
    ...outs.map(e => e.dataCentre),
  ]);
  return [...names].sort().map(dataCentre => ({
    dataCentre,
    servers: members.filter(m => m.member.dataCentre === dataCentre).length,
    out: outs.find(e => e.dataCentre === dataCentre),
  }));
}

/** Backend servers known by the roster. */
export function serverRows(folded: logState.LogState): readonly ServerRow[] {
  const outs = exceptionsOf(folded).filter(e => e.kind === 'server-out');
  return folded.roster
    .all()
    .map(({member, roster}) => ({
      server: member.nodeId,
      service: member.service,
      dataCentre: member.dataCentre,
      roster,
      out: outs.find(e => e.server === member.nodeId),
    }))
    .sort((a, b) => a.server.localeCompare(b.server));
}

/**
 * Returns the operation that ends the exception chosen by `matches`.
 *
 * @throws cliErrors.CommandError if there is none.
 */
export function removal(
  folded: logState.LogState,
  subject: string,
  matches: (e: generated.Exception) => boolean,
): operation.Operation {
  const found = exceptionsOf(folded).find(matches);
  if (!found) throw cliErrors.invalid(`${subject} is not out`);
  return {kind: 'remove-exception', id: found.id};
}

function exceptionsOf(
  folded: logState.LogState,
): readonly generated.Exception[] {
  return folded.configuration.configuration?.document.exceptions ?? [];
}
