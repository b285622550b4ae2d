/**
 * Paths of values in a settings file, written as TOML writes keys: `daemons[0].zone`. Positions in lists
 * count from 0, and a key that TOML would quote is quoted.
 */

const bareKey = /^[A-Za-z0-9_-]+$/;

const formatKey = (key: string): string => (bareKey.test(key) ? key : JSON.stringify(key));

/** Appends a key or a position in a list to a path; the empty path is the whole document. */
export const childPath = (parent: string, key: PropertyKey): string => {
  if (typeof key === 'number') return `${parent}[${key}]`;
  const formatted = formatKey(String(key));
  return parent === '' ? formatted : `${parent}.${formatted}`;
};

/** Joins the keys that lead from the document to a value. */
export const formatPath = (keys: readonly PropertyKey[]): string =>
  keys.reduce<string>(childPath, '');
