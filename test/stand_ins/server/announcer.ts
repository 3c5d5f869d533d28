/** Announces the stand-in to its node; repeated, since the node may start later. */
import * as http from 'node:http';

const INTERVAL_MS = 500;

/** Body of an announcement, sent as JSON. */
export interface Announcement {
  readonly state: 'starting' | 'ready' | 'leaving';
  readonly ip: string;
  readonly port: number;
  readonly slots: number;
  readonly processId: string;
}

/** Sends announcements to one node every 500 ms and ignores failures. */
export class Announcer implements Disposable {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly node: {readonly ip: string; readonly port: number},
    private readonly currentAnnouncement: () => Announcement,
  ) {}

  start(): void {
    this.announce();
    this.timer = setInterval(() => this.announce(), INTERVAL_MS);
  }

  announce(): void {
    const req = http.request({
      host: this.node.ip,
      port: this.node.port,
      path: '/.geraniumloft/backend-server',
      method: 'POST',
      agent: false,
    });
    req.on('error', () => undefined);
    req.on('response', res => res.resume());
    req.end(JSON.stringify(this.currentAnnouncement()));
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }
}
