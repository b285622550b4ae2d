/**
 * Validates a declaration as a whole. An invalid declaration is rejected completely and nothing of
 * it takes effect.
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
    'refers to a service that is not declared; declare the service or refer to another one.',
  );
};

const checkRoutePaths: Check = ({ routes }) => {
  const duplicate = findDuplicate(routes.map(({ host, prefix }) => `${host} ${prefix}`));
  if (duplicate === undefined) return undefined;
  return reject('routeRepeated', `Two routes are declared for ${duplicate}; remove one of them.`);
};

const checkPrefixes: Check = (declaration) =>
  checkRoutes(
    declaration,
    ({ prefix }) => !prefix.startsWith('/') || !prefix.endsWith('/'),
    'prefixInvalid',
    'has a prefix that does not start and end with a slash; write it as "/path/".',
  );

const totalWeightOf = ({ targets }: RouteDeclaration): number =>
  targets.reduce((sum, { weight }) => sum + weight, 0);

const checkWeights: Check = (declaration) =>
  checkRoutes(
    declaration,
    (route) => route.targets.some(({ weight }) => weight < 0) || totalWeightOf(route) <= 0,
    'weightsInvalid',
    'has negative weights or weights that add up to 0; give at least one service a weight above 0.',
  );

const checkTimeouts: Check = (declaration) =>
  checkRoutes(
    declaration,
    ({ timeoutMilliseconds }) => timeoutMilliseconds !== null && timeoutMilliseconds <= 0,
    'timeoutInvalid',
    'has a timeout that is not positive; set it to more than 0 milliseconds.',
  );

const checkAttempts: Check = (declaration) =>
  checkRoutes(
    declaration,
    ({ maximumAttempts }) => maximumAttempts < 1,
    'attemptsInvalid',
    'has a maximum number of attempts below 1; set it to at least 1.',
  );

const checkKeys: Check = ({ workspaces }) => {
  const keys = (workspaces ?? []).flatMap((workspace) => [...new Set(workspace.keys)]);
  if (findDuplicate(keys) === undefined) return undefined;
  return reject('keyShared', 'Two workspaces have the same key; give each workspace its own key.');
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

/** Validates a declaration; the error describes the first fault and its remedy. */
export const checkDeclaration = (declaration: Declaration): Result<void, Rejection> => {
  const fault = checks.map((check) => check(declaration)).find((found) => found !== undefined);
  return fault === undefined ? ok(undefined) : err(fault);
};
