/**
 * Generates API keys and computes their digests. Only digests are stored.
 */
import { createHash, randomBytes } from 'node:crypto';

const keyBytes = 32;

/**
 * Returns the SHA-256 of the UTF-8 key as 64 lower-case hex digits, the form used in settings
 * trees.
 */
export const computeKeyDigest = (key: string): string =>
  createHash('sha256').update(key, 'utf8').digest('hex');

/** Generates a random key from a secure source; base64url characters are valid in HTTP headers. */
export const createKey = (): string => randomBytes(keyBytes).toString('base64url');
