/**
 * Validates a settings tree: first its schema, then the constraints between its values. Each
 * constraint is one entry in `treeChecks`. The checks read the tree only and don't change it.
 */
import type { Result } from 'neverthrow';
import { checkDocument } from '../../../infrastructure/settings/common/checkDocument.js';
import {
  SettingsFaultKind,
  type SettingsFault,
} from '../../../infrastructure/settings/common/settingsFault.js';
import {
  findDuplicates,
  type Occurrence,
} from '../../../infrastructure/settings/common/uniqueness.js';
import { treeSchema, type ServiceSettings, type Tree } from './tree.js';

type TreeCheck = (tree: Tree) => readonly SettingsFault[];
type ServiceCheck = (service: ServiceSettings, path: string) => readonly SettingsFault[];

const createConflictFault = (path: string, message: string): readonly SettingsFault[] => [
  { kind: SettingsFaultKind.Conflict, path, message },
];

const createMissingFault = (path: string, message: string): readonly SettingsFault[] => [
  { kind: SettingsFaultKind.Missing, path, message },
];

const checkEngineService: ServiceCheck = ({ models, path }, at) => [
  ...(models.length > 0
    ? []
    : createMissingFault(
        `${at}.models`,
        'Engine services are addressed by model; add at least one model.',
      )),
  ...(path === undefined
    ? []
    : createConflictFault(
        `${at}.path`,
        'Engine services are addressed by model; remove the path.',
      )),
];

const checkPlainService: ServiceCheck = ({ models, path }, at) => [
  ...(path !== undefined
    ? []
    : createMissingFault(
        `${at}.path`,
        'Plain services are addressed by path; add one, such as "/depot".',
      )),
  ...(models.length === 0
    ? []
    : createConflictFault(
        `${at}.models`,
        'Plain services are addressed by path; remove the models.',
      )),
];

const checksByServiceKind: Readonly<Record<ServiceSettings['kind'], ServiceCheck>> = {
  engine: checkEngineService,
  plain: checkPlainService,
};

const checkServiceKinds: TreeCheck = ({ services }) =>
  Object.entries(services).flatMap(([name, service]) =>
    checksByServiceKind[service.kind](service, `services.${name}`),
  );

/**
 * Rejects open services that are not idempotent. At-most-once execution identifies a call by
 * workspace and request id, and a call without a key has no workspace.
 */
const checkOpenServices: TreeCheck = ({ services }) =>
  Object.entries(services)
    .filter(([, service]) => service.open && !service.idempotent)
    .flatMap(([name]) =>
      createConflictFault(
        `services.${name}.open`,
        'Repeated calls without a key look like new calls; set open = false, or ' +
          'set idempotent = true if calls may be repeated.',
      ),
    );

const listPaths = ({ services }: Tree): readonly Occurrence[] =>
  Object.entries(services).flatMap(([name, { path }]) =>
    path === undefined ? [] : [{ path: `services.${name}.path`, value: path }],
  );

const checkPathForms: TreeCheck = (tree) =>
  listPaths(tree)
    .filter(({ value }) => value.endsWith('/') || value.includes('//'))
    .map(({ path }) => ({
      kind: SettingsFaultKind.BadForm,
      path,
      message: 'The path has an empty segment; use single slashes and no trailing slash.',
    }));

const checkPathUniqueness: TreeCheck = (tree) => findDuplicates('path', listPaths(tree));

const checkPathPrefixes: TreeCheck = (tree) => {
  const paths = listPaths(tree);
  return paths.flatMap((inner) =>
    paths
      .filter((outer) => inner.value.startsWith(`${outer.value}/`))
      .flatMap((outer) =>
        createConflictFault(
          inner.path,
          `The path is nested in the path at ${outer.path}; change one of them.`,
        ),
      ),
  );
};

const checkModels: TreeCheck = ({ services }) =>
  findDuplicates(
    'model',
    Object.entries(services).flatMap(([name, { models }]) =>
      models.map((value, position) => ({ path: `services.${name}.models[${position}]`, value })),
    ),
  );

const listOperatorKeys = ({ operators }: Tree): readonly Occurrence[] =>
  Object.entries(operators).map(([name, { digest }]) => ({
    path: `operators.${name}.digest`,
    value: digest,
  }));

const listWorkspaceKeys = ({ workspaces }: Tree): readonly Occurrence[] =>
  Object.entries(workspaces).flatMap(([workspace, { keys }]) =>
    Object.entries(keys).map(([key, { digest }]) => ({
      path: `workspaces.${workspace}.keys.${key}.digest`,
      value: digest,
    })),
  );

/** Requires key digests to be unique, so that no workspace key also grants operator access. */
const checkKeys: TreeCheck = (tree) =>
  findDuplicates('key digest', [...listWorkspaceKeys(tree), ...listOperatorKeys(tree)]);

const listServiceReferences = ({ workspaces }: Tree): readonly Occurrence[] =>
  Object.entries(workspaces).flatMap(([name, { services }]) =>
    services.map((value, position) => ({
      path: `workspaces.${name}.services[${position}]`,
      value,
    })),
  );

const checkServiceReferences: TreeCheck = (tree) =>
  listServiceReferences(tree)
    .filter(({ value }) => !Object.hasOwn(tree.services, value))
    .map(({ path }) => ({
      kind: SettingsFaultKind.Unresolved,
      path,
      message: `No service has this name; use one of ${Object.keys(tree.services).join(', ')}.`,
    }));

const checkDuplicateServices: TreeCheck = ({ workspaces }) =>
  Object.entries(workspaces).flatMap(([name, { services }]) =>
    findDuplicates(
      'service',
      services.map((value, position) => ({
        path: `workspaces.${name}.services[${position}]`,
        value,
      })),
    ),
  );

const treeChecks: readonly TreeCheck[] = [
  checkServiceKinds,
  checkOpenServices,
  checkPathForms,
  checkPathUniqueness,
  checkPathPrefixes,
  checkModels,
  checkKeys,
  checkServiceReferences,
  checkDuplicateServices,
];

/** Validates a complete decoded settings tree; the error lists every fault found. */
export const checkTree = (document: unknown): Result<Tree, readonly SettingsFault[]> =>
  checkDocument(treeSchema, document, (tree) => treeChecks.flatMap((check) => check(tree)));
