/**
 * Faults of settings files. Each fault has the path of the affected value and a message with the
 * remedy. Messages must not contain values, since a settings file can contain a secret by mistake.
 */
import type { ValueOf } from '../../../base/common/handlers.js';

/** The kinds of faults. */
export const SettingsFaultKind = {
  /** The file does not exist. */
  FileNotFound: 'fileNotFound',
  /** The file exists but cannot be read. */
  FileUnreadable: 'fileUnreadable',
  /** The text is not valid TOML. */
  Syntax: 'syntax',
  /** The key is not defined at this place. */
  UnknownKey: 'unknownKey',
  /** A required value is absent. */
  Missing: 'missing',
  WrongType: 'wrongType',
  /** A number, or the length of an array or string, is too small or too large. */
  OutOfRange: 'outOfRange',
  /** A string does not have the required format. */
  BadForm: 'badForm',
  /** The value is not one of the allowed values. */
  NotAllowed: 'notAllowed',
  /** A value that must be unique occurs twice. */
  Repeated: 'repeated',
  /** The value refers to something that does not exist. */
  Unresolved: 'unresolved',
  /** Two settings contradict each other. */
  Conflict: 'conflict',
} as const;
export type SettingsFaultKind = ValueOf<typeof SettingsFaultKind>;

/** A TOML syntax error; line and column are 1-based. */
export interface SyntaxFault {
  readonly kind: typeof SettingsFaultKind.Syntax;
  readonly path: string;
  readonly message: string;
  readonly line: number;
  readonly column: number;
}

/** A fault of a value or of the file itself. */
export interface ValueFault {
  readonly kind: Exclude<SettingsFaultKind, typeof SettingsFaultKind.Syntax>;
  /** For example `daemons[0].zone`, or `file` for a fault of the file itself. */
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

/** All faults of all settings files that were read. */
export interface SettingsError {
  readonly kind: 'invalidSettings';
  readonly message: string;
  readonly files: readonly FaultyFile[];
}

/** The path in faults of the file itself. */
export const wholeFilePath = 'file';

const describeFault = ({ path, message }: SettingsFault): string => `${path}: ${message}`;

const describeFile = ({ file, faults }: FaultyFile): string =>
  [`${file} has ${faults.length} fault(s):`, ...faults.map(describeFault)].join('\n');

/** Creates an error whose message lists the faults of the files, one per line. */
export const createSettingsError = (files: readonly FaultyFile[]): SettingsError => ({
  kind: 'invalidSettings',
  message: files.map(describeFile).join('\n'),
  files,
});
