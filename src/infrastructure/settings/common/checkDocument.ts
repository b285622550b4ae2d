/**
 * Validates a decoded document: first against its schema, then with cross checks over all values.
 * Cross checks also run if the document has unknown keys; with other schema faults there is no
 * value to check.
 */
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { createSchemaFaults } from './schemaFaults.js';
import { SettingsFaultKind, type SettingsFault } from './settingsFault.js';
import { childPath } from './settingsPath.js';

/** Returns the faults that involve more than one value. */
export type CrossChecks<Value> = (value: Value) => readonly SettingsFault[];

interface SchemaOutcome<Value> {
  readonly value: Value | undefined;
  readonly faults: readonly SettingsFault[];
}

type PlainObject = Readonly<Record<string, unknown>>;

/** As a lookup key it would access the prototype of an object, and schemas ignore it. */
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
    const keyPath = childPath(path, key);
    const nestedFaults = findPrototypeKeys((value as Record<PropertyKey, unknown>)[key], keyPath);
    if (key !== prototypeKey) return nestedFaults;
    const message = 'This key is reserved; use a different name for the entry.';
    return [{ kind: SettingsFaultKind.UnknownKey, path: keyPath, message }];
  });

const isNotReportedIn =
  (found: readonly SettingsFault[]) =>
  (fault: SettingsFault): boolean =>
    found.every(({ path }) => path !== fault.path);

const removePaths = (value: unknown, removedPaths: ReadonlySet<string>, path: string): unknown => {
  if (!isContainer(value)) return value;
  if (Array.isArray(value)) {
    return Array.from(value, (entry, position) =>
      removePaths(entry, removedPaths, childPath(path, position)),
    );
  }
  const retainedEntries = Object.entries(value).filter(
    ([key]) => !removedPaths.has(childPath(path, key)),
  );
  return Object.fromEntries(
    retainedEntries.map(([key, entry]) => [
      key,
      removePaths(entry, removedPaths, childPath(path, key)),
    ]),
  );
};

const removeUnknownKeys = (document: unknown, faults: readonly SettingsFault[]): unknown => {
  const unknownKeyFaults = faults.filter((fault) => fault.kind === SettingsFaultKind.UnknownKey);
  return removePaths(document, new Set(unknownKeyFaults.map((fault) => fault.path)), '');
};

const checkSchema = <Value>(schema: z.ZodType<Value>, document: unknown): SchemaOutcome<Value> => {
  const parsed = schema.safeParse(document, { reportInput: true });
  const issues = parsed.success ? [] : parsed.error.issues;
  const found = createSchemaFaults(issues);
  const faults = [...found, ...findPrototypeKeys(document, '').filter(isNotReportedIn(found))];
  if (faults.length === 0) return { value: parsed.data, faults };
  const reparsed = schema.safeParse(removeUnknownKeys(document, faults));
  return { value: reparsed.data, faults };
};

/** Validates a document; the error lists all faults of the schema and of the cross checks. */
export const checkDocument = <Value>(
  schema: z.ZodType<Value>,
  document: unknown,
  crossChecks: CrossChecks<Value>,
): Result<Value, readonly SettingsFault[]> => {
  const { value, faults } = checkSchema(schema, document);
  const all = value === undefined ? faults : [...faults, ...crossChecks(value)];
  return value !== undefined && all.length === 0 ? ok(value) : err(all);
};
