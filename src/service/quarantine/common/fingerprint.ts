/**
 * Identifies the requests that repeat each other: those of one workspace with the same method, path
 * and body. A fingerprint holds the digest of the content, never the body or a key.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';

export type Fingerprint = Brand<'fingerprint'>;

/** Returns the fingerprint of a request, or null if its content has no digest. */
export const fingerprintOf = (
  workspace: string | null,
  digest: string | null | undefined,
): Fingerprint | null => (digest ? asBrand<Fingerprint>(`${workspace ?? ''}|${digest}`) : null);
