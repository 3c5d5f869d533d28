/** Reads bodies of requests within memory that all callers share. */
import type * as http from 'node:http';

import * as units from '../common/units.js';
import * as bodyQueue from './body_queue.js';
import * as bodyReader from './body_reader.js';
import * as callerMemory from './caller_memory.js';

/** Length up to which a body never waits, in bytes. */
export const SMALL_BODY_BYTES = 64 * 1024;

/** Share of the callers' memory that large bodies may take. */
const LARGE_BODY_SHARE = 3 / 4;

/** Share of the callers' memory for what is buffered of bodies that wait. */
const WAITING_SHARE = 1 / 8;

/** Bytes of a body that wait in the buffers of its connection. */
const BUFFERED_BYTES = 64 * 1024;

/** Share of a request's time for which its body may wait; the rest is left for the request. */
const MAX_WAIT_SHARE = 1 / 2;

/** Longest time for a body, whatever time the request has. */
const MAX_BODY_TIME_MS: units.Millis = 60_000;

/**
 * A body, or why there is none: `no-memory` if there was no memory for it in time, `late` if it was
 * not complete at the end of the request's time.
 */
export type TakenBody =
  bodyReader.ReadBody | {readonly kind: 'no-memory' | 'late'};

/** Limits and callbacks of a body. */
export interface BodyOptions {
  /** Most bytes of the body. */
  readonly maxBytes: number;
  /** Time left to the request. */
  readonly timeLeftMs: units.Millis;
  /** Called once, unless the body is disposed before; may be called synchronously. */
  onTaken(taken: TakenBody, body: HeldBody): void;
  /** Ends the connection, as its body takes most while the callers' memory is used up. */
  onExceeded(): void;
}

/** Settings and dependencies of `BodyIntake`. */
export interface BodyIntakeOptions {
  readonly memory: callerMemory.CallerMemory;
  nowMs(): units.MonotonicMs;
}

/** Use of the callers' memory, in bytes. */
export interface BodyMemoryUse {
  /** Held or reserved for bodies of more than `SMALL_BODY_BYTES`. */
  readonly largeBytes: number;
  /** Held for the other bodies. */
  readonly smallBytes: number;
  /** Held for callers in all. */
  readonly usedBytes: number;
  /** Most that may be held for callers. */
  readonly maxBytes: number;
}

/** Memory of a body; must be disposed when the request is answered or its caller has left. */
export class HeldBody implements Disposable, bodyQueue.QueuedBody {
  private readonly allocation: callerMemory.CallerAllocation;
  private state: 'open' | 'taken' | 'disposed' = 'open';
  /** Counted bytes; fewer than those of a body that is longer than the memory. */
  private countedBytes = 0;
  private timer: NodeJS.Timeout | undefined;
  private waitTimer: NodeJS.Timeout | undefined;
  private waitingSinceMs: units.MonotonicMs | undefined;
  private endedWaitsMs: units.Millis = 0;
  private isReading = false;
  private stopReading = (): void => undefined;

  constructor(
    private readonly intake: BodyIntake,
    readonly number: number,
    private readonly req: http.IncomingMessage,
    private readonly options: BodyOptions,
  ) {
    this.allocation = intake.memory.allocate(() => options.onExceeded());
  }

  /** Time for which the body has waited for memory. */
  get waitedMs(): units.Millis {
    const {waitingSinceMs} = this;
    if (waitingSinceMs === undefined) return this.endedWaitsMs;
    return this.endedWaitsMs + this.intake.nowMs() - waitingSinceMs;
  }

  /** Reads the body, now or when there is memory for it. */
  open(): void {
    const {req, options} = this;
    const stated = bodyReader.statedLength(req) ?? 0;
    if (stated > options.maxBytes) return this.end({kind: 'too-long'});
    if (this.take(stated) && !this.isReading) this.read();
    if (this.state !== 'open') return;
    this.timer = setTimeout(
      () => this.end({kind: this.waitedMs > 0 ? 'no-memory' : 'late'}),
      Math.min(options.timeLeftMs, MAX_BODY_TIME_MS),
    );
  }

  onReserved(): void {
    this.endWait();
    this.count(this.intake.queue.bytesOf(this));
    if (this.isReading) this.req.resume();
    else this.read();
  }

  onStuck(): void {
    this.end({kind: 'no-memory'});
  }

  /** Gives the memory back; the body is read no further. */
  [Symbol.dispose](): void {
    if (this.state === 'disposed') return;
    this.state = 'disposed';
    clearTimeout(this.timer);
    this.endWait();
    this.stopReading();
    this.intake.release(this, this.countedBytes);
    this.countedBytes = 0;
    this.allocation[Symbol.dispose]();
  }

  private read(): void {
    // Counting its bytes may have ended its connection.
    if (this.state !== 'open') return;
    this.isReading = true;
    this.stopReading = bodyReader.readBody(
      this.req,
      this.options.maxBytes,
      read => this.end(read),
      bytes => this.onBytes(bytes),
    );
  }

  private onBytes(bytes: number): void {
    if (bytes <= this.countedBytes || this.state !== 'open') return;
    const wanted = bytes > SMALL_BODY_BYTES ? 2 * bytes : bytes;
    this.req.pause();
    if (this.take(Math.min(wanted, this.options.maxBytes))) this.req.resume();
  }

  /** Takes memory for the first bytes of the body; returns false if it has to wait or has ended. */
  private take(bytes: number): boolean {
    const {intake} = this;
    if (bytes <= SMALL_BODY_BYTES) {
      const added = bytes - this.countedBytes;
      if (!intake.fits(added)) {
        this.end({kind: 'no-memory'});
        return false;
      }
      this.count(bytes);
      return true;
    }
    if (intake.queue.reserve(this, bytes)) {
      this.count(intake.queue.bytesOf(this));
      return true;
    }
    if (intake.queue.isWaiting(this)) this.wait();
    return false;
  }

  private wait(): void {
    if (this.intake.isQueueFull) return this.end({kind: 'no-memory'});
    this.waitingSinceMs = this.intake.nowMs();
    this.waitTimer = setTimeout(
      () => this.end({kind: 'no-memory'}),
      this.options.timeLeftMs * MAX_WAIT_SHARE - this.endedWaitsMs,
    );
  }

  private endWait(): void {
    clearTimeout(this.waitTimer);
    this.endedWaitsMs = this.waitedMs;
    this.waitingSinceMs = undefined;
  }

  private count(bytes: number): void {
    const added = bytes - this.countedBytes;
    this.intake.onCounted(this.countedBytes, bytes);
    this.countedBytes = bytes;
    this.allocation.add(added);
  }

  /** Gives back what was taken beyond the length of the body. */
  private trim(bytes: number): void {
    if (bytes >= this.countedBytes) return;
    this.intake.queue.shrink(this, bytes);
    this.count(bytes);
  }

  private end(taken: TakenBody): void {
    if (this.state !== 'open') return;
    this.state = 'taken';
    clearTimeout(this.timer);
    this.endWait();
    if (taken.kind === 'whole') this.trim(taken.body.length);
    else this[Symbol.dispose]();
    this.options.onTaken(taken, this);
  }
}

/**
 * Reads bodies within the callers' memory. Large ones are read in the order of their arrival, while
 * their sum is within a share of the memory; others are not read meanwhile. Small ones never wait.
 */
export class BodyIntake {
  readonly queue: bodyQueue.BodyQueue;
  readonly memory: callerMemory.CallerMemory;
  private lastNumber = 0;
  private smallBytes = 0;

  constructor(private readonly options: BodyIntakeOptions) {
    this.memory = options.memory;
    this.queue = new bodyQueue.BodyQueue(
      LARGE_BODY_SHARE * options.memory.maxBytes,
      bytes => this.fits(bytes),
    );
    this.memory.onFreed = () => this.queue.admit();
  }

  /** Bytes that are held. */
  get use(): BodyMemoryUse {
    const {usedBytes, maxBytes} = this.memory;
    const {queue, smallBytes} = this;
    return {largeBytes: queue.usedBytes, smallBytes, usedBytes, maxBytes};
  }

  /** Whether no further body may wait. */
  get isQueueFull(): boolean {
    const waitingBytes = this.queue.waitingCount * BUFFERED_BYTES;
    return waitingBytes > WAITING_SHARE * this.memory.maxBytes;
  }

  /** Reads the body of a request. */
  take(req: http.IncomingMessage, options: BodyOptions): HeldBody {
    const body = new HeldBody(this, ++this.lastNumber, req, options);
    body.open();
    return body;
  }

  nowMs(): units.MonotonicMs {
    return this.options.nowMs();
  }

  /** Whether the memory has room for further bytes; answers that callers do not take give way. */
  fits(bytes: number): boolean {
    return this.memory.makeRoom(bytes);
  }

  /** Notes that a body counts `after` bytes instead of `before`. */
  onCounted(before: number, after: number): void {
    this.smallBytes += smallPart(after) - smallPart(before);
  }

  /** Gives back the memory of a body that counted `bytes`. */
  release(body: HeldBody, bytes: number): void {
    this.smallBytes -= smallPart(bytes);
    this.queue.release(body);
  }
}

function smallPart(bytes: number): number {
  return bytes <= SMALL_BODY_BYTES ? bytes : 0;
}
