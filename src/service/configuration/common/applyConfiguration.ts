/**
 * Applies committed edits to the settings tables. The complete resulting tree is validated before
 * an edit is accepted; a rejected edit changes only `rememberedAnswers`. Handlers must be
 * deterministic, because every daemon applies the same log.
 */
import { err, ok, type Result } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { formatPath } from '../../../infrastructure/settings/common/settingsPath.js';
import type { ApplyHandlers } from '../../consensus/common/applyHandlers.js';
import { checkTree } from './checkTree.js';
import type { ConfigurationCommand, EditCommand, TreeChange } from './configurationCommands.js';
import {
  createSettingsRejection,
  SettingsRejectionKind,
  type SettingsRejection,
} from './settingsRejection.js';
import {
  maximumHistoryRows,
  maximumRememberedAnswers,
  putBounded,
  settingsId,
  settingsOf,
  type RememberedAnswerRow,
  type SettingsRow,
  type SettingsTables,
} from './settingsTables.js';
import type { Tree } from './tree.js';
import { putAt, removeAt } from './treePath.js';

/** The path that an edit changes, and the change at that path. */
interface PathChange {
  readonly path: string;
  readonly change: TreeChange;
}

type Rejected = Result<never, SettingsRejection>;

const reject = (...parts: Parameters<typeof createSettingsRejection>): Rejected =>
  err(createSettingsRejection(...parts));

const keyPath = (workspace: string, name: string): string =>
  formatPath(['workspaces', workspace, 'keys', name]);

const findWorkspace = (
  tree: Tree,
  name: string,
): Result<Tree['workspaces'][string], SettingsRejection> =>
  Object.hasOwn(tree.workspaces, name)
    ? ok(tree.workspaces[name]!)
    : reject(SettingsRejectionKind.UnknownWorkspace);

const createKeyInsertion = (
  tree: Tree,
  workspace: string,
  name: string,
  digest: string,
): Result<PathChange, SettingsRejection> =>
  findWorkspace(tree, workspace).andThen(({ keys }) =>
    Object.hasOwn(keys, name)
      ? reject(SettingsRejectionKind.KeyNameTaken)
      : ok<PathChange>({
          path: keyPath(workspace, name),
          change: { kind: 'put', value: { digest, withdrawn: false } },
        }),
  );

const findWorkspaceWithKey = (
  tree: Tree,
  workspace: string,
  name: string,
): Result<Tree['workspaces'][string], SettingsRejection> =>
  findWorkspace(tree, workspace).andThen((settings) =>
    Object.hasOwn(settings.keys, name)
      ? ok(settings)
      : reject(SettingsRejectionKind.UnknownKeyName),
  );

/** Returns the path and the change of each kind of edit, or the reason why it is rejected. */
const pathChangeHandlers: HandlerTable<
  EditCommand,
  Result<PathChange, SettingsRejection>,
  [SettingsRow]
> = {
  treeSet: ({ path, change, expectedRevision }, { revision }) =>
    expectedRevision === revision
      ? ok({ path, change })
      : reject(
          SettingsRejectionKind.RevisionMismatch,
          `The edit expects revision ${expectedRevision}, but the current revision is ${revision}.`,
        ),
  keyIssue: ({ workspace, name, digest }, { tree }) =>
    createKeyInsertion(tree, workspace, name, digest),
  keyWithdraw: ({ workspace, name }, { tree }) =>
    findWorkspaceWithKey(tree, workspace, name).map(() => ({
      path: `${keyPath(workspace, name)}.withdrawn`,
      change: { kind: 'put', value: true },
    })),
  keyRotate: ({ workspace, name, successor, digest }, { tree }) =>
    findWorkspaceWithKey(tree, workspace, name).andThen(() =>
      createKeyInsertion(tree, workspace, successor, digest),
    ),
};

/**
 * Returns a copy of the tree with one path changed, or a rejection if the complete tree is invalid.
 */
export const applyPathChange = (
  tree: Tree,
  { path, change }: PathChange,
): Result<Tree, SettingsRejection> => {
  const changed = change.kind === 'put' ? putAt(tree, path, change.value) : removeAt(tree, path);
  return changed
    .mapErr(({ at }) =>
      createSettingsRejection(
        SettingsRejectionKind.UnknownPath,
        `The path \`${at}\` does not exist.`,
      ),
    )
    .andThen((document) =>
      checkTree(document).mapErr((faults) => {
        const listed = faults.map((fault) => `${fault.path}: ${fault.message}`).join(' ');
        return createSettingsRejection(SettingsRejectionKind.InvalidTree, listed, faults);
      }),
    );
};

const rotationId = (workspace: string, name: string) => asBrand<never>(`${workspace}.${name}`);

/**
 * Updates the key rotations for each kind of edit; the number is the revision that the edit
 * created.
 */
const rotationHandlers: HandlerTable<EditCommand, void, [SettingsTables, number]> = {
  treeSet: () => {},
  keyIssue: () => {},
  keyWithdraw: ({ workspace, name }, { keyRotations }) => {
    keyRotations.remove(rotationId(workspace, name));
  },
  keyRotate: ({ workspace, name, overlapMilliseconds }, { keyRotations }, revision) => {
    const id = rotationId(workspace, name);
    keyRotations.put({ id, workspace, name, overlapMilliseconds, revision });
  },
};

const commitEdit = (
  tables: SettingsTables,
  command: EditCommand,
  pathChange: PathChange,
  tree: Tree,
): number => {
  const revision = settingsOf(tables).revision + 1;
  tables.settings.change(settingsId, { revision, tree });
  const { operator, request } = command;
  const id = asBrand<never>(String(revision));
  const row = { id, revision, operator, request, ...pathChange };
  putBounded(tables.settingsHistory, row, maximumHistoryRows);
  dispatchByKind(rotationHandlers, command, tables, revision);
  return revision;
};

const evaluateEdit = (
  tables: SettingsTables,
  command: EditCommand,
): Result<number, SettingsRejection> => {
  const settings = settingsOf(tables);
  if (!settings.isAgreed) return reject(SettingsRejectionKind.NotSeeded);
  return dispatchByKind(pathChangeHandlers, command, settings).andThen((pathChange) =>
    applyPathChange(settings.tree, pathChange).map((tree) =>
      commitEdit(tables, command, pathChange, tree),
    ),
  );
};

const repeatAnswer = (
  recordedAnswer: RememberedAnswerRow,
  command: EditCommand,
): Result<void, SettingsRejection> => {
  if (recordedAnswer.content !== command.content)
    return reject(SettingsRejectionKind.RequestReused);
  return recordedAnswer.rejection === null ? ok(undefined) : err(recordedAnswer.rejection);
};

/**
 * Applies an edit, or returns the recorded answer if a request with the same identifier was
 * applied.
 */
const applyEdit = (
  tables: SettingsTables,
  command: EditCommand,
): Result<void, SettingsRejection> => {
  const id = asBrand<RememberedAnswerRow['id']>(command.request);
  const recordedAnswer = tables.rememberedAnswers.get(id);
  if (recordedAnswer !== undefined) return repeatAnswer(recordedAnswer, command);
  const outcome = evaluateEdit(tables, command);
  const row: RememberedAnswerRow = {
    id,
    content: command.content,
    revision: outcome.unwrapOr(null),
    rejection: outcome.isErr() ? outcome.error : null,
  };
  putBounded(tables.rememberedAnswers, row, maximumRememberedAnswers);
  return outcome.map(() => undefined);
};

/** Accepts the first committed seed tree as revision 1 and ignores later seed trees. */
const applySeedTree = (
  tables: SettingsTables,
  document: unknown,
): Result<void, SettingsRejection> => {
  if (settingsOf(tables).isAgreed) return ok(undefined);
  return checkTree(document)
    .mapErr((faults) => createSettingsRejection(SettingsRejectionKind.InvalidTree, '', faults))
    .map((tree) => tables.settings.put({ id: settingsId, revision: 1, tree, isAgreed: true }))
    .map(() => undefined);
};

/** Handlers for committed configuration commands. */
export const configurationApplyHandlers: ApplyHandlers<ConfigurationCommand> = {
  treeSeeded: ({ tree }, world) => applySeedTree(world, tree),
  treeSet: (command, world) => applyEdit(world, command),
  keyIssue: (command, world) => applyEdit(world, command),
  keyWithdraw: (command, world) => applyEdit(world, command),
  keyRotate: (command, world) => applyEdit(world, command),
};
