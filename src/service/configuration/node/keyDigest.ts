/**
 * Keys of callers and their digests. Only digests are stored.
 */
import { createHash, randomBytes } from 'node:crypto';

const keyBytes = 32;

/** The SHA-256 of a key in UTF-8, as 64 hexadecimal digits: the form in which a settings tree has it. */
export const computeKeyDigest = (key: string): string =>
  createHash('sha256').update(key, 'utf8').digest('hex');

/** Makes a key from a secure random source, in characters that may stand in an HTTP header. */
export const createKey = (): string => randomBytes(keyBytes).toString('base64url');
