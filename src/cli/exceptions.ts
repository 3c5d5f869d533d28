/** Creates, removes and lists exceptions in the configuration. */
import * as operation from '../common/configuration/operation.js';
import * as logState from '../common/control/log_state.js';
import * as generated from '../generated/configuration.js';
import * as cliErrors from './cli_errors.js';

/** Maximum length of an exception id in the configuration schema, in characters. */
const MAX_ID_LENGTH = 63;

/** A data centre and the exception that takes it out, if any. */
export interface DataCentreRow {
  readonly dataCentre: string;
  readonly servers: number;
  readonly out?: generated.DataCentreOut;
}

/** A backend server, its roster state and the exception that takes it out, if any. */
export interface ServerRow {
  readonly server: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly roster: 'joined' | 'leaving' | 'gone';
  readonly out?: generated.ServerOut;
}

/** Returns the exception id for a kind and subject; each pair has at most one exception. */
export function exceptionId(
  kind: generated.Exception['kind'],
  subject: string,
): string {
  return `${kind}.${subject}`.slice(0, MAX_ID_LENGTH);
}

/** Returns the data centres in the roster or named by an exception, sorted by name. */
export function dataCentreRows(
  state: logState.LogState,
): readonly DataCentreRow[] {
  const members = state.roster.all();
  const outs = exceptionsOf(state).filter(e => e.kind === 'data-centre-out');
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

/** Returns the backend servers in the roster, sorted by node id. */
export function serverRows(state: logState.LogState): readonly ServerRow[] {
  const outs = exceptionsOf(state).filter(e => e.kind === 'server-out');
  return state.roster
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
 * Returns the operation that removes the first exception for which `matches` returns true.
 *
 * @throws cliErrors.CommandError if no exception matches.
 */
export function removeExceptionOperation(
  state: logState.LogState,
  subject: string,
  matches: (e: generated.Exception) => boolean,
): operation.Operation {
  const found = exceptionsOf(state).find(matches);
  if (!found) throw cliErrors.invalid(`${subject} is not out`);
  return {kind: 'remove-exception', id: found.id};
}

function exceptionsOf(
  state: logState.LogState,
): readonly generated.Exception[] {
  return state.configuration.configuration?.document.exceptions ?? [];
}
