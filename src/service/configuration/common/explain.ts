/**
 * Explains where a settings value comes from: lists every level that can define it and marks the
 * level whose value takes effect. Reads a tree and changes nothing.
 */
import { err, ok, type Result } from 'neverthrow';
import { createSettingsRejection, SettingsRejectionKind } from './settingsRejection.js';
import type { SettingsRejection } from './settingsRejection.js';
import { defaultPolicy, policySchema, type Policy, type Tree } from './tree.js';
import { readAt } from './treePath.js';

/** One level that can define a value. Lists of levels are ordered by ascending precedence. */
export interface ExplainedLevel {
  /** The settings path at which this level defines the value, or `default`. */
  readonly level: string;
  /** The value at this level, or null if the level does not define it. */
  readonly value: unknown;
  readonly isInForce: boolean;
}

type PolicyName = keyof Policy;

const policyPath = /^(?:(services|workspaces)\.([^.]+)\.)?policy\.([^.]+)$/;

const isPolicyName = (name: string): name is PolicyName => Object.hasOwn(policySchema.shape, name);

const readValue = (tree: Tree, level: string): unknown => readAt(tree, level).unwrapOr(null);

const markEffectiveLevel = (
  levels: readonly Omit<ExplainedLevel, 'isInForce'>[],
): ExplainedLevel[] => {
  const effectiveIndex = levels.findLastIndex(({ value }) => value !== null);
  return levels.map((level, index) => ({ ...level, isInForce: index === effectiveIndex }));
};

/** Lists the paths that can define a policy value, by ascending precedence. */
const listPolicyPaths = (
  name: PolicyName,
  service: string | undefined,
  workspace: string | undefined,
): readonly string[] => [
  `policy.${name}`,
  ...(service === undefined ? [] : [`services.${service}.policy.${name}`]),
  ...(workspace === undefined ? [] : [`workspaces.${workspace}.policy.${name}`]),
];

const explainPolicy = (
  tree: Tree,
  name: PolicyName,
  service: string | undefined,
  workspace: string | undefined,
): readonly ExplainedLevel[] =>
  markEffectiveLevel([
    { level: 'default', value: defaultPolicy[name] },
    ...listPolicyPaths(name, service, workspace).map((level) => ({
      level,
      value: readValue(tree, level),
    })),
  ]);

const explainPath = (
  tree: Tree,
  path: string,
): Result<readonly ExplainedLevel[], SettingsRejection> =>
  readAt(tree, path)
    .map((value) => [{ level: path, value, isInForce: true }])
    .mapErr(({ at }) =>
      createSettingsRejection(
        SettingsRejectionKind.UnknownPath,
        `The path \`${at}\` does not exist.`,
      ),
    );

/**
 * Explains the value at a path. For a workspace policy, `service` selects the service whose policy
 * is inherited. Returns an `unknownPath` rejection if the path does not exist.
 */
export const explainSetting = (
  tree: Tree,
  path: string,
  service?: string,
): Result<readonly ExplainedLevel[], SettingsRejection> => {
  const [, level, holder, name] = policyPath.exec(path) ?? [];
  if (name === undefined || !isPolicyName(name)) return explainPath(tree, path);
  const hasHolder = holder === undefined || readAt(tree, `${level}.${holder}`).isOk();
  if (!hasHolder) return err(createSettingsRejection(SettingsRejectionKind.UnknownPath));
  const workspace = level === 'workspaces' ? holder : undefined;
  const serviceName = level === 'services' ? holder : service;
  return ok(explainPolicy(tree, name, serviceName, workspace));
};
