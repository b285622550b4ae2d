/**
 * Converts schema validation issues to settings faults, with one handler per issue code.
 */
import type { z } from 'zod';
import {
  SettingsFaultKind,
  wholeFilePath,
  type SettingsFault,
  type ValueFault,
} from './settingsFault.js';
import { childPath, formatPath } from './settingsPath.js';

type Issue = z.core.$ZodIssue;
type IssueOf<Code extends Issue['code']> = Extract<Issue, { readonly code: Code }>;
type IssueHandlers = {
  readonly [Code in Issue['code']]: (issue: IssueOf<Code>, path: string) => readonly ValueFault[];
};

const typeNames: Readonly<Record<string, string>> = {
  int: 'an integer',
  number: 'a number',
  string: 'a string in quotes',
  boolean: 'true or false',
  array: 'a list in square brackets',
  object: 'a table',
  record: 'a table',
};

const describeType = (expected: string): string => typeNames[expected] ?? `a value of ${expected}`;

const quoteAll = (values: readonly unknown[]): string =>
  values.map((value) => JSON.stringify(value)).join(', ');

const createFault = (
  kind: ValueFault['kind'],
  path: string,
  message: string,
): readonly ValueFault[] => [{ kind, path: path === '' ? wholeFilePath : path, message }];

const createMissingFault = (path: string, expected: string): readonly ValueFault[] =>
  createFault(SettingsFaultKind.Missing, path, `This value is required; add ${expected}.`);

/** Units of the bounds, by the type of the value. */
const lengthUnits: Readonly<Record<string, string>> = {
  string: ' characters',
  array: ' entries',
};

/** Wording of inclusive and exclusive bounds. */
const lowerBound = { inclusive: 'at least', exclusive: 'more than' } as const;
const upperBound = { inclusive: 'at most', exclusive: 'less than' } as const;
type BoundWords = typeof lowerBound | typeof upperBound;

const describeBound = (
  words: BoundWords,
  bound: number | bigint,
  { origin, inclusive }: IssueOf<'too_small' | 'too_big'>,
): string =>
  `${inclusive === false ? words.exclusive : words.inclusive} ${bound}${lengthUnits[origin] ?? ''}`;

const createOutOfRangeFault = (path: string, remedy: string): readonly ValueFault[] =>
  createFault(SettingsFaultKind.OutOfRange, path, `The value is out of range; use ${remedy}.`);

const handlers: IssueHandlers = {
  invalid_type: (issue, path) =>
    issue.input === undefined
      ? createMissingFault(path, describeType(issue.expected))
      : createFault(
          SettingsFaultKind.WrongType,
          path,
          `The type is wrong; use ${describeType(issue.expected)}.`,
        ),
  invalid_value: (issue, path) =>
    issue.input === undefined
      ? createMissingFault(path, `one of ${quoteAll(issue.values)}`)
      : createFault(
          SettingsFaultKind.NotAllowed,
          path,
          `The value is not allowed; use one of ${quoteAll(issue.values)}.`,
        ),
  too_small: (issue, path) =>
    createOutOfRangeFault(path, describeBound(lowerBound, issue.minimum, issue)),
  too_big: (issue, path) =>
    createOutOfRangeFault(path, describeBound(upperBound, issue.maximum, issue)),
  invalid_format: ({ message }, path) =>
    createFault(SettingsFaultKind.BadForm, path, `The format is invalid. ${message}`),
  not_multiple_of: ({ divisor }, path) => createOutOfRangeFault(path, `a multiple of ${divisor}`),
  unrecognized_keys: ({ keys }, path) =>
    keys.flatMap((key) =>
      createFault(
        SettingsFaultKind.UnknownKey,
        childPath(path, key),
        'The key is unknown; correct its spelling or remove it.',
      ),
    ),
  invalid_key: ({ issues }, path) =>
    issues.flatMap(({ message }) =>
      createFault(SettingsFaultKind.BadForm, path, `The name of this entry is invalid. ${message}`),
    ),
  invalid_element: ({ issues }, path) =>
    issues.flatMap(({ message }) =>
      createFault(SettingsFaultKind.BadForm, path, `This entry is invalid. ${message}`),
    ),
  invalid_union: (issue, path) =>
    createFault(
      SettingsFaultKind.NotAllowed,
      path,
      `The value matches none of the allowed formats. ${issue.message}`,
    ),
  custom: ({ message }, path) => createFault(SettingsFaultKind.Conflict, path, message),
};

const createIssueFaults = (issue: Issue): readonly SettingsFault[] => {
  const handler = handlers[issue.code] as (one: Issue, path: string) => readonly SettingsFault[];
  return handler(issue, formatPath(issue.path));
};

/** Returns the faults of all issues, in the order of the issues. */
export const createSchemaFaults = (issues: readonly Issue[]): readonly SettingsFault[] =>
  issues.flatMap(createIssueFaults);
