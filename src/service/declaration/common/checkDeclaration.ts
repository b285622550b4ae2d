/**
 * Checks of a declaration as a whole. Nothing of an invalid one comes into force.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Rejection } from '../../consensus/common/consensusTables.js';
import type { Declaration, RouteDeclaration } from './declaration.js';

type Check = (declaration: Declaration) => Rejection | undefined;

const reject = (kind: string, message: string): Rejection => ({ kind, message });

const findDuplicate = (values: readonly string[]): string | undefined => {
  const visited = new Set<string>();
  return values.find((value) => {
    const isDuplicate = visited.has(value);
    visited.add(value);
    return isDuplicate;
  });
};

const checkRoutes = (
  declaration: Declaration,
  isInvalid: (route: RouteDeclaration) => boolean,
  kind: string,
  remedy: string,
): Rejection | undefined => {
  const route = declaration.routes.find(isInvalid);
  return route === undefined ? undefined : reject(kind, `The route ${route.name} ${remedy}`);
};

const checkServices: Check = (declaration) => {
  const names = new Set(declaration.services.map(({ name }) => name));
  return checkRoutes(
    declaration,
    ({ targets }) => targets.some(({ service }) => !names.has(service)),
    'unknownService',
    'names a service that is not declared; declare it or name another.',
  );
};

const checkRoutePaths: Check = ({ routes }) => {
  const duplicate = findDuplicate(routes.map(({ host, prefix }) => `${host} ${prefix}`));
  if (duplicate === undefined) return undefined;
  return reject('routeRepeated', `Two routes are declared for ${duplicate}; leave one of them.`);
};

const checkPrefixes: Check = (declaration) =>
  checkRoutes(
    declaration,
    ({ prefix }) => !prefix.startsWith('/') || !prefix.endsWith('/'),
    'prefixInvalid',
    'has a prefix that does not begin and end with a slash; write it as "/path/".',
  );

const totalWeightOf = ({ targets }: RouteDeclaration): number =>
  targets.reduce((sum, { weight }) => sum + weight, 0);

const checkWeights: Check = (declaration) =>
  checkRoutes(
    declaration,
    (route) => route.targets.some(({ weight }) => weight < 0) || totalWeightOf(route) <= 0,
    'weightsInvalid',
    'has weights that are below 0 or add up to 0; give one of its services a weight over 0.',
  );

const checkTimeouts: Check = (declaration) =>
  checkRoutes(
    declaration,
    ({ timeoutMilliseconds }) => timeoutMilliseconds !== null && timeoutMilliseconds <= 0,
    'timeoutInvalid',
    'has a timeout that is not over 0; give it more than 0 milliseconds.',
  );

const checkAttempts: Check = (declaration) =>
  checkRoutes(
    declaration,
    ({ maximumAttempts }) => maximumAttempts < 1,
    'attemptsInvalid',
    'allows no attempt; allow at least 1.',
  );

const checkKeys: Check = ({ workspaces }) => {
  const keys = (workspaces ?? []).flatMap((workspace) => [...new Set(workspace.keys)]);
  if (findDuplicate(keys) === undefined) return undefined;
  return reject('keyShared', 'Two workspaces hold the same key; give each a key of its own.');
};

const checkNames: Check = ({ services, workspaces }) => {
  const duplicate =
    findDuplicate(services.map(({ name }) => name)) ??
    findDuplicate((workspaces ?? []).map(({ name }) => name));
  if (duplicate === undefined) return undefined;
  return reject('nameRepeated', `The name ${duplicate} is declared twice; rename one of the two.`);
};

const checks: readonly Check[] = [
  checkServices,
  checkRoutePaths,
  checkPrefixes,
  checkWeights,
  checkTimeouts,
  checkAttempts,
  checkKeys,
  checkNames,
];

/** Checks a declaration; the error names the first fault and its remedy. */
export const checkDeclaration = (declaration: Declaration): Result<void, Rejection> => {
  const fault = checks.map((check) => check(declaration)).find((found) => found !== undefined);
  return fault === undefined ? ok(undefined) : err(fault);
};
