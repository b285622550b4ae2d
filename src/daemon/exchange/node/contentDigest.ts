/**
 * Computes the digest of a request's content where the body is. Systems recognize a request that is
 * sent again by this digest and never see the body.
 */
import { createHash } from 'node:crypto';

/** Returns the SHA-256 digest of method, path with query, and body, in base64url. */
export const computeContentDigest = (method: string, path: string, body: Uint8Array): string =>
  createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64url');
