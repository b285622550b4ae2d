/**
 * What can be wrong with a settings file. Every fault names the path of the value that it is about, and
 * its message names the remedy. Messages never repeat a value, since settings may hold secrets by mistake.
 */
import type { ValueOf } from '../../../base/common/handlers.js';

/** The kinds of faults. */
export const SettingsFaultKind = {
  /** The file does not exist. */
  FileNotFound: 'fileNotFound',
  /** The file exists and cannot be read. */
  FileUnreadable: 'fileUnreadable',
  /** The text is not TOML. */
  Syntax: 'syntax',
  /** The key is not one that may stand here. */
  UnknownKey: 'unknownKey',
  /** A value that is needed is absent. */
  Missing: 'missing',
  WrongType: 'wrongType',
  /** A number, or the length of a list or text, is too small or too large. */
  OutOfRange: 'outOfRange',
  /** A text does not have the form that is needed. */
  BadForm: 'badForm',
  /** The value is not one of the values that are allowed. */
  NotAllowed: 'notAllowed',
  /** The same value stands in two places where it must be unique. */
  Repeated: 'repeated',
  /** The value names something that does not exist. */
  Unresolved: 'unresolved',
  /** Two settings cannot hold together. */
  Conflict: 'conflict',
} as const;
export type SettingsFaultKind = ValueOf<typeof SettingsFaultKind>;

/** The text is not TOML; line and column count from 1. */
export interface SyntaxFault {
  readonly kind: typeof SettingsFaultKind.Syntax;
  readonly path: string;
  readonly message: string;
  readonly line: number;
  readonly column: number;
}

/** A fault of a value, or of the file as a whole. */
export interface ValueFault {
  readonly kind: Exclude<SettingsFaultKind, typeof SettingsFaultKind.Syntax>;
  /** Such as `daemons[0].zone`; `file` where the fault is about the file itself. */
  readonly path: string;
  readonly message: string;
}

/** One fault of a settings file. */
export type SettingsFault = SyntaxFault | ValueFault;

/** All faults of one file. */
export interface FaultyFile {
  readonly file: string;
  readonly faults: readonly SettingsFault[];
}

/** Settings that cannot be used, with every fault of every file that was read. */
export interface SettingsError {
  readonly kind: 'invalidSettings';
  readonly message: string;
  readonly files: readonly FaultyFile[];
}

/** The path of faults that are about a file as a whole. */
export const wholeFilePath = 'file';

const describeFault = ({ path, message }: SettingsFault): string => `${path}: ${message}`;

const describeFile = ({ file, faults }: FaultyFile): string =>
  [`${file} has ${faults.length} fault(s):`, ...faults.map(describeFault)].join('\n');

/** Gathers the faults of some files into one error, whose message lists them one a line. */
export const createSettingsError = (files: readonly FaultyFile[]): SettingsError => ({
  kind: 'invalidSettings',
  message: files.map(describeFile).join('\n'),
  files,
});
