/** Fingerprints that identify requests with the same content. */
import * as xxhash from 'xxhash-wasm';

const HEX_DIGITS = 16;

/** Computes fingerprints with 64-bit xxHash. */
export class RequestFingerprint {
  private constructor(private readonly api: xxhash.XXHashAPI) {}

  /** Loads the hash function. */
  static async load(): Promise<RequestFingerprint> {
    return new RequestFingerprint(await xxhash.default());
  }

  /** Returns the fingerprint of service, method, path and body. */
  of(service: string, method: string, path: string, body: Uint8Array): string {
    const seed = this.api.h64(`${service}\n${method}\n${path}`);
    return this.api.h64Raw(body, seed).toString(16).padStart(HEX_DIGITS, '0');
  }
}
