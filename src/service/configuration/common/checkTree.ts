/**
 * Checks a settings tree: its schema, then what must hold between its values. Each cross check is one
 * entry of a list that runs over services or workspaces.
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

const conflict = (path: string, message: string): readonly SettingsFault[] => [
  { kind: SettingsFaultKind.Conflict, path, message },
];

const missing = (path: string, message: string): readonly SettingsFault[] => [
  { kind: SettingsFaultKind.Missing, path, message },
];

const checkEngine: ServiceCheck = ({ models, path }, at) => [
  ...(models.length > 0
    ? []
    : missing(`${at}.models`, 'Callers reach an engine service by model; name one at least.')),
  ...(path === undefined
    ? []
    : conflict(`${at}.path`, 'Callers reach an engine service by model; remove the path.')),
];

const checkPlain: ServiceCheck = ({ models, path }, at) => [
  ...(path !== undefined
    ? []
    : missing(`${at}.path`, 'Callers reach a plain service by path; add one, such as "/depot".')),
  ...(models.length === 0
    ? []
    : conflict(`${at}.models`, 'Callers reach a plain service by path; remove the models.')),
];

const checksByServiceKind: Readonly<Record<ServiceSettings['kind'], ServiceCheck>> = {
  engine: checkEngine,
  plain: checkPlain,
};

const checkServiceKinds: TreeCheck = ({ services }) =>
  Object.entries(services).flatMap(([name, service]) =>
    checksByServiceKind[service.kind](service, `services.${name}`),
  );

/** At most once rests on the workspace and request id of a caller; an open route has no workspace. */
const checkOpenServices: TreeCheck = ({ services }) =>
  Object.entries(services)
    .filter(([, service]) => service.open && !service.idempotent)
    .flatMap(([name]) =>
      conflict(
        `services.${name}.open`,
        'Without a key a repeated call cannot be told from a new one; set open = false, or set ' +
          'idempotent = true if calls may be repeated.',
      ),
    );

const pathsOf = ({ services }: Tree): readonly Occurrence[] =>
  Object.entries(services).flatMap(([name, { path }]) =>
    path === undefined ? [] : [{ path: `services.${name}.path`, value: path }],
  );

const checkPathForms: TreeCheck = (tree) =>
  pathsOf(tree)
    .filter(({ value }) => value.endsWith('/') || value.includes('//'))
    .map(({ path }) => ({
      kind: SettingsFaultKind.BadForm,
      path,
      message: 'Part the path by single slashes, with none at its end.',
    }));

const checkPathUniqueness: TreeCheck = (tree) => findDuplicates('path', pathsOf(tree));

const checkPathPrefixes: TreeCheck = (tree) => {
  const paths = pathsOf(tree);
  return paths.flatMap((inner) =>
    paths
      .filter((outer) => inner.value.startsWith(`${outer.value}/`))
      .flatMap((outer) =>
        conflict(inner.path, `The path lies below the one at ${outer.path}; move one of them.`),
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

const operatorKeysOf = ({ operators }: Tree): readonly Occurrence[] =>
  Object.entries(operators).map(([name, { digest }]) => ({
    path: `operators.${name}.digest`,
    value: digest,
  }));

const workspaceKeysOf = ({ workspaces }: Tree): readonly Occurrence[] =>
  Object.entries(workspaces).flatMap(([workspace, { keys }]) =>
    Object.entries(keys).map(([key, { digest }]) => ({
      path: `workspaces.${workspace}.keys.${key}.digest`,
      value: digest,
    })),
  );

/** A key of an operator may not be that of a workspace, so that no caller can edit the settings. */
const checkKeys: TreeCheck = (tree) =>
  findDuplicates('key digest', [...workspaceKeysOf(tree), ...operatorKeysOf(tree)]);

const servicesNamedBy = ({ workspaces }: Tree): readonly Occurrence[] =>
  Object.entries(workspaces).flatMap(([name, { services }]) =>
    services.map((value, position) => ({
      path: `workspaces.${name}.services[${position}]`,
      value,
    })),
  );

const checkServiceNames: TreeCheck = (tree) =>
  servicesNamedBy(tree)
    .filter(({ value }) => !Object.hasOwn(tree.services, value))
    .map(({ path }) => ({
      kind: SettingsFaultKind.Unresolved,
      path,
      message: `No service has this name; name one of ${Object.keys(tree.services).join(', ')}.`,
    }));

const checkServiceRepetitions: TreeCheck = ({ workspaces }) =>
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
  checkServiceNames,
  checkServiceRepetitions,
];

/** Checks a decoded settings tree whole; the error lists every fault that was found. */
export const checkTree = (document: unknown): Result<Tree, readonly SettingsFault[]> =>
  checkDocument(treeSchema, document, (tree) => treeChecks.flatMap((check) => check(tree)));
