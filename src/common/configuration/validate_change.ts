/** Checks of a change before it is published, with messages for operators. */
import * as generated from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as operation from './operation.js';

/** What a change is checked against. */
export interface ValidationContext {
  /** Document in force, undefined before the first. */
  readonly document: generated.Configuration | undefined;
  /** Members that have not gone. */
  readonly members: readonly peer.Member[];
  /** Whether the last data centre of a service may be taken out. */
  readonly allowLastDataCentre: boolean;
}

/** Returns the faults of a change, one line each; none if it may be published. */
export function validateChange(
  op: operation.Operation,
  reason: string,
  context: ValidationContext,
): readonly string[] {
  const faults =
    reason.trim() === '' ? ['reason: expected text, found none'] : [];
  const applied = operation.applyOperation(context.document, op);
  if (applied.kind === 'invalid') return [...faults, ...applied.faults];
  return [
    ...faults,
    ...unknownNames(addedExceptions(context.document, applied.value), context),
    ...lastDataCentres(applied.value, context),
  ];
}

/** Exceptions of `after` that are not in `before`; older ones may name what has gone since. */
function addedExceptions(
  before: generated.Configuration | undefined,
  after: generated.Configuration,
): readonly generated.Exception[] {
  const known = new Set(before?.exceptions.map(e => e.id));
  return after.exceptions.filter(e => !known.has(e.id));
}

function unknownNames(
  exceptions: readonly generated.Exception[],
  context: ValidationContext,
): readonly string[] {
  const {members, document} = context;
  const services = new Set([
    ...members.map(m => m.service),
    ...(document?.services.map(s => s.name) ?? []),
  ]);
  return exceptions.flatMap(e => {
    switch (e.kind) {
      case 'data-centre-out':
        return unknown(e, 'data centre', e.dataCentre, [
          ...new Set(members.map(m => m.dataCentre)),
        ]);
      case 'server-out':
        return unknown(
          e,
          'server',
          e.server,
          members.map(m => m.nodeId),
        );
      case 'service-override':
        return unknown(e, 'service', e.service, [...services]);
    }
  });
}

/** Most known names listed in a message. */
const MAX_LISTED = 10;

function unknown(
  exception: generated.Exception,
  what: string,
  name: string,
  known: readonly string[],
): readonly string[] {
  if (known.includes(name)) return [];
  const listed = [...known].sort().slice(0, MAX_LISTED).join(', ');
  return [
    `exception ${exception.id}: unknown ${what} ${name}; known: ${listed || 'none'}`,
  ];
}

function lastDataCentres(
  cfg: generated.Configuration,
  context: ValidationContext,
): readonly string[] {
  if (context.allowLastDataCentre) return [];
  const out = dataCentresOut(cfg);
  const outBefore = dataCentresOut(context.document);
  if ([...out].every(name => outBefore.has(name))) return [];
  const served = context.members
    .filter(m => !out.has(m.dataCentre))
    .map(m => m.service);
  const left = new Set(served);
  const services = new Set(context.members.map(m => m.service));
  return [...services]
    .filter(service => !left.has(service))
    .map(
      service =>
        `service ${service} would have no data centre left; give --allow-last if that is meant`,
    );
}

function dataCentresOut(
  cfg: generated.Configuration | undefined,
): ReadonlySet<string> {
  return new Set(
    cfg?.exceptions.flatMap(e =>
      e.kind === 'data-centre-out' ? [e.dataCentre] : [],
    ),
  );
}
