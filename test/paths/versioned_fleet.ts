/** A fleet whose configuration changes, and how late its nodes follow. */
import * as timers from 'node:timers/promises';

import * as documents from '../stand_ins/platform/documents.js';
import * as platformFleet from './platform_fleet.js';

/** `config_s`: time from the acknowledgement of a version until all requests follow it. */
const CONFIG_MS = 2_000;

/** `contact_s`: time after a disruption of its connections until a node is judged again. */
const CONTACT_MS = 3_000;

const ASK_INTERVAL_MS = 60;

/** Time for which nodes are asked after the last bound. */
const OBSERVED_MS = 1_000;

/** Publishes versions that each add a route, and asks all nodes for it. */
export class VersionedFleet {
  private version = 1;
  private requests = 0;

  constructor(readonly fleet: platformFleet.PlatformFleet) {}

  /** Publishes a version with a route of its own and returns the path of that route. */
  publish(): string {
    const name = `added${++this.version}`;
    const routes = ['history', name].map(each => documents.addedRoute(each));
    const document = documents.configuration(this.version, {routes});
    this.fleet.store.put('keyed.op', 'config', document);
    return `/${name}/1`;
  }

  /**
   * Publishes a version and returns how late the last node still acted by the older one, negative
   * if all were in time.
   *
   * @param disruptedMs end of the last disruption.
   */
  async latenessMs(disruptedMs: number): Promise<number> {
    const path = this.publish();
    const boundMs = Math.max(
      performance.now() + CONFIG_MS,
      disruptedMs + CONTACT_MS,
    );
    const sent = await this.unknownSentMs(path, boundMs + OBSERVED_MS);
    return Math.max(0, ...sent) - boundMs;
  }

  /** Asks all nodes for a path and returns the sending times of the requests that got 404. */
  private async unknownSentMs(
    path: string,
    untilMs: number,
  ): Promise<number[]> {
    const perNode = this.fleet.nodes.map(async node => {
      const sent: number[] = [];
      while (performance.now() < untilMs) {
        const sentMs = performance.now();
        const id = `r${++this.requests}`;
        const {status} = await this.fleet.send(node, {id, path});
        if (status === 404) sent.push(sentMs);
        await timers.setTimeout(ASK_INTERVAL_MS);
      }
      return sent;
    });
    return (await Promise.all(perNode)).flat();
  }
}
