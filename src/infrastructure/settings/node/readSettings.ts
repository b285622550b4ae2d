/**
 * Reads settings files. The validation of their content is in `common`.
 */
import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import { Result } from 'neverthrow';
import { checkDeployment } from '../common/checkDeployment.js';
import type { Deployment } from '../common/deployment.js';
import { parseToml, type TomlDocument } from '../common/parseToml.js';
import {
  createSettingsError,
  SettingsFaultKind,
  wholeFilePath,
  type SettingsError,
  type SettingsFault,
  type ValueFault,
} from '../common/settingsFault.js';

const fileNotFoundFault: ValueFault = {
  kind: SettingsFaultKind.FileNotFound,
  path: wholeFilePath,
  message: 'The file does not exist; correct the path or create the file.',
};

const createUnreadableFault = (message: string): ValueFault => ({
  kind: SettingsFaultKind.FileUnreadable,
  path: wholeFilePath,
  message,
});

const faultsBySystemCode: Readonly<Record<string, ValueFault>> = {
  ENOENT: fileNotFoundFault,
  ENOTDIR: fileNotFoundFault,
  EACCES: createUnreadableFault(
    'The user has no permission to read the file; grant read permission.',
  ),
  EISDIR: createUnreadableFault('The path is a folder; specify the file in it.'),
};

const toFileFault = (error: unknown): ValueFault => {
  const code = (error as NodeJS.ErrnoException).code ?? 'unknown';
  const fallback = createUnreadableFault(
    `The file cannot be read (${code}); check the disk and the path.`,
  );
  return faultsBySystemCode[code] ?? fallback;
};

const readText = Result.fromThrowable((file: string) => readFileSync(file, 'utf8'), toFileFault);

/** Resolves a path relative to the folder of the file that refers to it. */
export const resolveRelativeToFile = (file: string, relativePath: string): string =>
  resolve(dirname(resolve(file)), relativePath);

/** Reads and decodes one file without validating its values. */
export const readDocument = (file: string): Result<TomlDocument, readonly SettingsFault[]> =>
  readText(file)
    .andThen((text): Result<TomlDocument, SettingsFault> => parseToml(text))
    .mapErr((fault) => [fault]);

/** Reads and validates a deployment file, without its settings tree. */
export const readSettings = (
  file: string,
): Result<{ readonly deployment: Deployment }, SettingsError> =>
  readDocument(file)
    .andThen(checkDeployment)
    .map((deployment) => ({ deployment }))
    .mapErr((faults) => createSettingsError([{ file, faults }]));
