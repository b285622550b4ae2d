/**
 * Paths of values in a settings file in TOML key notation, such as `daemons[0].zone`. Array
 * positions are 0-based, and keys that TOML requires to be quoted are quoted.
 */

const bareKey = /^[A-Za-z0-9_-]+$/;

const formatKey = (key: string): string => (bareKey.test(key) ? key : JSON.stringify(key));

/** Appends a key or an array position to a path; the empty path denotes the document. */
export const childPath = (parent: string, key: PropertyKey): string => {
  if (typeof key === 'number') return `${parent}[${key}]`;
  const formatted = formatKey(String(key));
  return parent === '' ? formatted : `${parent}.${formatted}`;
};

/** Formats the path of a value from the keys that lead to it. */
export const formatPath = (keys: readonly PropertyKey[]): string =>
  keys.reduce<string>(childPath, '');
