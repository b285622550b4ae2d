/**
 * Keys at the border: a key is turned into its digest as soon as it has been read, and goes no further.
 */
import { createHash } from 'node:crypto';
import { Result } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import type { KeyDigest } from '../../../service/world/common/identifiers.js';

const bearerPattern = /^Bearer\s+(\S+)$/i;

/** SHA-256 of a key in hexadecimal. */
export const computeKeyDigest = (key: string): KeyDigest =>
  asBrand(createHash('sha256').update(key).digest('hex'));

/** The key that came with a request, from `Authorization: Bearer KEY` or `x-api-key`. */
export const readKey = (headers: Headers): string | null =>
  bearerPattern.exec(headers.get('authorization') ?? '')?.[1] ?? headers.get('x-api-key');

/** The digest of the key that came with a request, or null where none came. */
export const readKeyDigest = (headers: Headers): KeyDigest | null => {
  const key = readKey(headers);
  return key === null ? null : computeKeyDigest(key);
};

/** Headers that go on to upstreams, a path with its query, and a body. */
export interface ForwardedContent {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | null;
}

const decodePath = Result.fromThrowable(decodeURIComponent, () => undefined);

/**
 * Whether the key that came with a request also stands in what would go on to an upstream. Percent codes
 * of the path are decoded; a key that a body holds in another encoding is not seen.
 */
export const containsKey = (key: string, { path, headers, body }: ForwardedContent): boolean =>
  path.includes(key) ||
  decodePath(path.replaceAll('+', ' ')).unwrapOr('').includes(key) ||
  Object.values(headers).some((value) => value.includes(key)) ||
  (body !== null && Buffer.from(body.buffer, body.byteOffset, body.byteLength).includes(key));
