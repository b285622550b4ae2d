/**
 * Checks a decoded document: first against its schema, then by cross checks over the whole of it. Unknown
 * keys do not hold back the cross checks; other faults of the schema do, as there is no value to check.
 */
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { faultsOfIssues } from './schemaFaults.js';
import { SettingsFaultKind, type SettingsFault } from './settingsFault.js';
import { childPath } from './settingsPath.js';

/** Finds faults that concern more than one value. */
export type CrossChecks<Value> = (value: Value) => readonly SettingsFault[];

interface SchemaOutcome<Value> {
  readonly value: Value | undefined;
  readonly faults: readonly SettingsFault[];
}

type PlainObject = Readonly<Record<string, unknown>>;

/** Objects are looked up by key, so this key would reach their prototype; schemas pass over it. */
const prototypeKey = '__proto__';

const isPlainObject = (value: unknown): value is PlainObject => {
  if (typeof value !== 'object' || value === null) return false;
  const prototype: unknown = Object.getPrototypeOf(value);
  return prototype === null || prototype === Object.prototype;
};

const isContainer = (value: unknown): value is PlainObject | readonly unknown[] =>
  Array.isArray(value) || isPlainObject(value);

const keysOf = (value: unknown): readonly PropertyKey[] => {
  if (Array.isArray(value)) return Array.from(value, (_, position) => position);
  return isPlainObject(value) ? Object.keys(value) : [];
};

const findPrototypeKeys = (value: unknown, path: string): readonly SettingsFault[] =>
  keysOf(value).flatMap((key) => {
    const here = childPath(path, key);
    const inner = findPrototypeKeys((value as Record<PropertyKey, unknown>)[key], here);
    if (key !== prototypeKey) return inner;
    const message = 'This key is reserved; give the entry another name.';
    return [{ kind: SettingsFaultKind.UnknownKey, path: here, message }];
  });

const isNewIn =
  (found: readonly SettingsFault[]) =>
  (fault: SettingsFault): boolean =>
    found.every(({ path }) => path !== fault.path);

const withoutPaths = (value: unknown, removed: ReadonlySet<string>, path: string): unknown => {
  if (!isContainer(value)) return value;
  if (Array.isArray(value)) {
    return Array.from(value, (entry, position) =>
      withoutPaths(entry, removed, childPath(path, position)),
    );
  }
  const kept = Object.entries(value).filter(([key]) => !removed.has(childPath(path, key)));
  return Object.fromEntries(
    kept.map(([key, entry]) => [key, withoutPaths(entry, removed, childPath(path, key))]),
  );
};

const withoutUnknownKeys = (document: unknown, faults: readonly SettingsFault[]): unknown => {
  const unknown = faults.filter((fault) => fault.kind === SettingsFaultKind.UnknownKey);
  return withoutPaths(document, new Set(unknown.map((fault) => fault.path)), '');
};

const checkSchema = <Value>(schema: z.ZodType<Value>, document: unknown): SchemaOutcome<Value> => {
  const parsed = schema.safeParse(document, { reportInput: true });
  const issues = parsed.success ? [] : parsed.error.issues;
  const found = faultsOfIssues(issues);
  const faults = [...found, ...findPrototypeKeys(document, '').filter(isNewIn(found))];
  if (faults.length === 0) return { value: parsed.data, faults };
  const reduced = schema.safeParse(withoutUnknownKeys(document, faults));
  return { value: reduced.data, faults };
};

/** Checks a document whole; the error lists every fault that was found. */
export const checkDocument = <Value>(
  schema: z.ZodType<Value>,
  document: unknown,
  crossChecks: CrossChecks<Value>,
): Result<Value, readonly SettingsFault[]> => {
  const { value, faults } = checkSchema(schema, document);
  const all = value === undefined ? faults : [...faults, ...crossChecks(value)];
  return value !== undefined && all.length === 0 ? ok(value) : err(all);
};
