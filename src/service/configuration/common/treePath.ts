/**
 * Reads and changes one value of a settings document by its path: keys separated by dots, such as
 * `workspaces.depot.policy.weight`. The empty path denotes the whole document. Documents are never
 * mutated; changes return a copy.
 */
import { err, ok, type Result } from 'neverthrow';

interface JsonObject {
  readonly [key: string]: JsonValue;
}

/** Any JSON value. */
export type JsonValue = string | number | boolean | null | readonly JsonValue[] | JsonObject;

/** A path does not exist in the document; `at` is its shortest prefix that cannot be resolved. */
export interface PathNotFound {
  readonly kind: 'pathNotFound';
  readonly at: string;
}

/** Splits a path into its keys. */
export const splitPath = (path: string): readonly string[] => (path === '' ? [] : path.split('.'));

const isObject = (value: unknown): value is JsonObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const createPathNotFound = (keys: readonly string[]): Result<never, PathNotFound> =>
  err({ kind: 'pathNotFound', at: keys.join('.') });

/** Returns the value at a path. */
export const readAt = (document: unknown, path: string): Result<unknown, PathNotFound> => {
  const keys = splitPath(path);
  let value = document;
  for (let depth = 0; depth < keys.length; depth += 1) {
    const key = keys[depth]!;
    if (!isObject(value) || !Object.hasOwn(value, key))
      return createPathNotFound(keys.slice(0, depth + 1));
    value = value[key];
  }
  return ok(value);
};

const putAtKeys = (
  document: unknown,
  keys: readonly string[],
  value: JsonValue,
  depth: number,
): Result<unknown, PathNotFound> => {
  const key = keys[depth];
  if (key === undefined) return ok(value);
  if (!isObject(document)) return createPathNotFound(keys.slice(0, depth));
  const child = Object.hasOwn(document, key) ? document[key] : {};
  return putAtKeys(child, keys, value, depth + 1).map((changed) => ({
    ...document,
    [key]: changed,
  }));
};

/** Returns a copy of the document with the value set at a path; creates missing parent objects. */
export const putAt = (
  document: unknown,
  path: string,
  value: JsonValue,
): Result<unknown, PathNotFound> => putAtKeys(document, splitPath(path), value, 0);

const removeAtKeys = (
  document: unknown,
  keys: readonly string[],
  depth: number,
): Result<unknown, PathNotFound> => {
  const key = keys[depth];
  if (key === undefined || !isObject(document) || !Object.hasOwn(document, key)) {
    return createPathNotFound(keys.slice(0, depth + 1));
  }
  if (depth === keys.length - 1) {
    return ok(Object.fromEntries(Object.entries(document).filter(([name]) => name !== key)));
  }
  return removeAtKeys(document[key], keys, depth + 1).map((changed) => ({
    ...document,
    [key]: changed,
  }));
};

/** Returns a copy of the document without the value at a path; the path must exist. */
export const removeAt = (document: unknown, path: string): Result<unknown, PathNotFound> =>
  removeAtKeys(document, splitPath(path), 0);
