/**
 * Keys at the border: a key is turned into its digest as soon as it has been read, and goes no further.
 */
import { createHash } from 'node:crypto';
import { asBrand } from '../../../base/common/brand.js';
import type { KeyDigest } from '../../../service/world/common/identifiers.js';

const bearerPattern = /^Bearer\s+(\S+)$/i;

/** SHA-256 of a key in hexadecimal. */
export const digestKey = (key: string): KeyDigest =>
  asBrand(createHash('sha256').update(key).digest('hex'));

/** The key that came with a request, from `Authorization: Bearer KEY` or `x-api-key`. */
export const readKey = (headers: Headers): string | null =>
  bearerPattern.exec(headers.get('authorization') ?? '')?.[1] ?? headers.get('x-api-key');

/** The digest of the key that came with a request, or null where none came. */
export const readKeyDigest = (headers: Headers): KeyDigest | null => {
  const key = readKey(headers);
  return key === null ? null : digestKey(key);
};
