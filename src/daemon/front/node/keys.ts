/**
 * Reads caller keys from requests. A key is replaced by its digest as soon as it has been read and
 * is never stored or forwarded.
 */
import { createHash } from 'node:crypto';
import { Result } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import type { KeyDigest } from '../../../service/world/common/identifiers.js';

const bearerPattern = /^Bearer\s+(\S+)$/i;

/** Computes the SHA-256 digest of a key, in hexadecimal. */
export const computeKeyDigest = (key: string): KeyDigest =>
  asBrand(createHash('sha256').update(key).digest('hex'));

/** Reads the key from `Authorization: Bearer KEY` or `x-api-key`; null if there is none. */
export const readKey = (headers: Headers): string | null =>
  bearerPattern.exec(headers.get('authorization') ?? '')?.[1] ?? headers.get('x-api-key');

/** Returns the digest of the key of a request, or null if it has none. */
export const readKeyDigest = (headers: Headers): KeyDigest | null => {
  const key = readKey(headers);
  return key === null ? null : computeKeyDigest(key);
};

/** Parts of a request that are forwarded to an upstream; `path` includes the query. */
export interface ForwardedContent {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | null;
}

const decodePath = Result.fromThrowable(decodeURIComponent, () => undefined);

/**
 * Returns whether the forwarded parts of a request contain its key. Percent encoding in the path is
 * decoded; a key in the body is found only in plain text, not in another encoding.
 */
export const containsKey = (key: string, { path, headers, body }: ForwardedContent): boolean =>
  path.includes(key) ||
  decodePath(path.replaceAll('+', ' ')).unwrapOr('').includes(key) ||
  Object.values(headers).some((value) => value.includes(key)) ||
  (body !== null && Buffer.from(body.buffer, body.byteOffset, body.byteLength).includes(key));
