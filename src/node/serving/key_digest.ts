/** Digests that stand for callers' keys in configurations, logs and messages. */
import * as crypto from 'node:crypto';

/** Length of a digest in characters: 132 bits, far more than a guess can hit. */
const DIGEST_LENGTH = 22;

/** Returns the digest of a key. */
export function digestOf(key: string): string {
  return crypto
    .createHash('sha256')
    .update(key)
    .digest('base64url')
    .slice(0, DIGEST_LENGTH);
}
