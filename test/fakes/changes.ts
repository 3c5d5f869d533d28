/** Builds configuration changes for tests and appends them to a virtual log. */
import * as peer from '../../src/generated/peer.js';
import * as virtualFleet from './virtual_fleet.js';

/** A minimal valid configuration document: one class, one service, one route. */
export function configurationJson(progressTimeoutMs: number): unknown {
  return {
    defaults: {progressTimeoutMs},
    classes: [
      {name: 'price', kind: 'interactive', deadlineMs: 500, idempotent: true},
    ],
    services: [
      {
        name: 'catalogue',
        routes: [{method: 'GET', pathPrefix: '/', class: 'price'}],
      },
    ],
    exceptions: [],
  };
}

/** A change whose operation is serialised to JSON as given, valid or not. */
export function change(
  changeId: string,
  baseRevision: number,
  operation: unknown,
): peer.ConfigurationChange {
  return {
    changeId,
    baseRevision,
    author: 'ana',
    reason: 'test',
    operationJson: JSON.stringify(operation),
  };
}

/** A change that replaces the whole configuration. */
export function replacement(
  changeId: string,
  baseRevision: number,
  progressTimeoutMs = 100,
): peer.ConfigurationChange {
  return change(changeId, baseRevision, {
    kind: 'replace',
    configuration: configurationJson(progressTimeoutMs),
  });
}

/**
 * Appends a replacement of the configuration to the fleet's log. Its progress timeout depends on
 * the length of the log, so that replacements differ.
 */
export function publish(
  fleet: virtualFleet.VirtualControlFleet,
  changeId: string,
  baseRevision: number,
): void {
  fleet.append({
    recordId: `record-${changeId}-${fleet.nowMs}`,
    timeMs: fleet.epochMs(),
    body: {
      $case: 'change',
      value: replacement(
        changeId,
        baseRevision,
        100 + fleet.log.appendedRecords.length,
      ),
    },
  });
}
