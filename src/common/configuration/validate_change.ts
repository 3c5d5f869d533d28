/** Validates changes before they are published, with messages for operators. */
import * as generated from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as operation from './operation.js';

/** State that a change is validated against. */
export interface ValidationContext {
  /** Document in force, undefined before the first one. */
  readonly document: generated.Configuration | undefined;
  /** Members that are not gone. */
  readonly members: readonly peer.Member[];
  /** Whether a change may take out the last data centre of a service. */
  readonly allowLastDataCentre: boolean;
}

/** Returns the faults of a change, one line each. Empty if it may be published. */
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
    ...exceptionFaults(
      addedExceptions(context.document, applied.value),
      context,
    ),
    ...lastDataCentreFaults(applied.value, context),
  ];
}

/** Returns the new exceptions; existing ones may refer to members that are gone by now. */
function addedExceptions(
  before: generated.Configuration | undefined,
  after: generated.Configuration,
): readonly generated.Exception[] {
  const known = new Set(before?.exceptions.map(e => e.id));
  return after.exceptions.filter(e => !known.has(e.id));
}

function exceptionFaults(
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
        return unknownNameFaults(e, 'data centre', e.dataCentre, [
          ...new Set(members.map(m => m.dataCentre)),
        ]);
      case 'server-out':
        return unknownNameFaults(
          e,
          'server',
          e.server,
          members.map(m => m.nodeId),
        );
      case 'service-override':
        return unknownNameFaults(e, 'service', e.service, [...services]);
    }
  });
}

/** Maximum number of known names listed in a message. */
const MAX_LISTED = 10;

function unknownNameFaults(
  exception: generated.Exception,
  kindName: string,
  name: string,
  known: readonly string[],
): readonly string[] {
  if (known.includes(name)) return [];
  const listed = [...known].sort().slice(0, MAX_LISTED).join(', ');
  return [
    `exception ${exception.id}: unknown ${kindName} ${name}; known: ${listed || 'none'}`,
  ];
}

function lastDataCentreFaults(
  cfg: generated.Configuration,
  context: ValidationContext,
): readonly string[] {
  if (context.allowLastDataCentre) return [];
  const out = dataCentresOut(cfg);
  const outBefore = dataCentresOut(context.document);
  if ([...out].every(name => outBefore.has(name))) return [];
  const remaining = context.members
    .filter(m => !out.has(m.dataCentre))
    .map(m => m.service);
  const stillServed = new Set(remaining);
  const services = new Set(context.members.map(m => m.service));
  return [...services]
    .filter(service => !stillServed.has(service))
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
