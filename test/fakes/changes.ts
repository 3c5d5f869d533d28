/** Configuration changes for tests. */
import * as peer from '../../src/generated/peer.js';
import * as virtualFleet from './virtual_fleet.js';

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

/** Appends a replacement of the configuration to the fleet's log. */
export function publish(
  fleet: virtualFleet.VirtualFleet,
  changeId: string,
  baseRevision: number,
): void {
  fleet.append({
    recordId: `record-${changeId}-${fleet.nowMs}`,
    timeMs: fleet.epochMs(),
    body: {
      $case: 'change',
      value: replacement(changeId, baseRevision, 100 + fleet.log.all.length),
    },
  });
}
