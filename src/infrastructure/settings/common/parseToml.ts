/**
 * Decodes TOML text. Which values may stand in it is decided elsewhere.
 */
import { Result } from 'neverthrow';
import { parse, TomlError } from 'smol-toml';
import { SettingsFaultKind, type SyntaxFault } from './settingsFault.js';

/** A decoded document whose values are not checked yet. */
export type TomlDocument = Readonly<Record<string, unknown>>;

const startOfText = { line: 1, column: 1 } as const;

const libraryPrefix = /^Invalid TOML document: /;

/** The first line of the library's message; the lines after it quote the text of the file. */
const describeCause = (error: unknown): string => {
  const [firstLine = ''] = String(error instanceof Error ? error.message : error).split('\n');
  return firstLine.replace(libraryPrefix, '');
};

const toSyntaxFault = (error: unknown): SyntaxFault => {
  const { line, column } = error instanceof TomlError ? error : startOfText;
  return {
    kind: SettingsFaultKind.Syntax,
    path: `line ${line}, column ${column}`,
    message: `The text is not TOML (${describeCause(error)}); correct it there.`,
    line,
    column,
  };
};

/** Decodes TOML text; the error gives line and column of the first place that is not TOML. */
export const parseToml = (text: string): Result<TomlDocument, SyntaxFault> =>
  Result.fromThrowable(() => parse(text) as TomlDocument, toSyntaxFault)();
