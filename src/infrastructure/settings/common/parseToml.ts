/**
 * Decodes TOML text without validating the values.
 */
import { Result } from 'neverthrow';
import { parse, TomlError } from 'smol-toml';
import { SettingsFaultKind, type SyntaxFault } from './settingsFault.js';

/** A decoded document whose values have not been validated. */
export type TomlDocument = Readonly<Record<string, unknown>>;

const startOfText = { line: 1, column: 1 } as const;

const libraryPrefix = /^Invalid TOML document: /;

/**
 * The first line of the library's message; later lines quote the file, which can contain secrets.
 */
const describeCause = (error: unknown): string => {
  const [firstLine = ''] = String(error instanceof Error ? error.message : error).split('\n');
  return firstLine.replace(libraryPrefix, '');
};

const toSyntaxFault = (error: unknown): SyntaxFault => {
  const { line, column } = error instanceof TomlError ? error : startOfText;
  return {
    kind: SettingsFaultKind.Syntax,
    path: `line ${line}, column ${column}`,
    message: `The text is not valid TOML (${describeCause(error)}); correct it at this position.`,
    line,
    column,
  };
};

/** Decodes TOML text; the error has the line and column of the first syntax error. */
export const parseToml = (text: string): Result<TomlDocument, SyntaxFault> =>
  Result.fromThrowable(() => parse(text) as TomlDocument, toSyntaxFault)();
