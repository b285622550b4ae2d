/**
 * Loads an installation at startup: its deployment file and the settings tree file that it
 * references. Both files are checked even if the first is invalid, so that one error reports the
 * faults of both.
 */
import { dirname, resolve } from 'node:path';
import { err, ok, type Result } from 'neverthrow';
import { checkDeployment } from '../../../infrastructure/settings/common/checkDeployment.js';
import type { Deployment } from '../../../infrastructure/settings/common/deployment.js';
import type { TomlDocument } from '../../../infrastructure/settings/common/parseToml.js';
import {
  createSettingsError,
  type FaultyFile,
  type SettingsError,
  type SettingsFault,
} from '../../../infrastructure/settings/common/settingsFault.js';
import {
  readDocument,
  resolveRelativeToFile,
} from '../../../infrastructure/settings/node/readSettings.js';
import { checkTree } from '../common/checkTree.js';
import type { Tree } from '../common/tree.js';

/** The validated settings of one installation. */
export interface Installation {
  readonly deployment: Deployment;
  readonly tree: Tree;
  /** Absolute path of the folder of the deployment file; paths in that file are relative to it. */
  readonly folder: string;
}

interface CheckedFile<Value> {
  readonly file: string;
  readonly result: Result<Value, readonly SettingsFault[]>;
}

const listFaultyFiles = ({ file, result }: CheckedFile<unknown>): readonly FaultyFile[] =>
  result.match(
    () => [],
    (faults) => [{ file, faults }],
  );

/** Reads the settings tree that a deployment references, even if other values of it are invalid. */
const checkReferencedTree = (
  file: string,
  document: TomlDocument,
): CheckedFile<Tree> | undefined => {
  if (typeof document.tree !== 'string' || document.tree === '') return undefined;
  const treeFile = resolveRelativeToFile(file, document.tree);
  return { file: treeFile, result: readDocument(treeFile).andThen(checkTree) };
};

const checkInstallation = (
  file: string,
  document: TomlDocument,
): Result<Installation, SettingsError> => {
  const deployment = { file, result: checkDeployment(document) };
  const tree = checkReferencedTree(file, document);
  if (deployment.result.isOk() && tree?.result.isOk()) {
    const folder = dirname(resolve(file));
    return ok({ deployment: deployment.result.value, tree: tree.result.value, folder });
  }
  const treeFaults = tree === undefined ? [] : listFaultyFiles(tree);
  return err(createSettingsError([...listFaultyFiles(deployment), ...treeFaults]));
};

/** Loads and validates an installation; the error lists every fault of both files. */
export const loadInstallation = (file: string): Result<Installation, SettingsError> =>
  readDocument(file)
    .mapErr((faults) => createSettingsError([{ file, faults }]))
    .andThen((document) => checkInstallation(file, document));
