/**
 * Reads and changes one place of a settings document by its path: keys joined by dots, such as
 * `workspaces.depot.policy.weight`. The empty path is the whole document. Values are never mutated.
 */
import { err, ok, type Result } from 'neverthrow';

interface JsonObject {
  readonly [key: string]: JsonValue;
}

/** A value as JSON has it. */
export type JsonValue = string | number | boolean | null | readonly JsonValue[] | JsonObject;

/** The path leads through a value that has no such entry; `at` is where it ends. */
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

/** The value at a path. */
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

/** The document with a value put at a path; tables on the way are created where they are absent. */
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

/** The document without the value at a path, which must be there. */
export const removeAt = (document: unknown, path: string): Result<unknown, PathNotFound> =>
  removeAtKeys(document, splitPath(path), 0);
