/**
 * The settings tree: root, then workspaces, then the keys, services and lots of a workspace. Policies
 * may stand at every level; a level inherits what it does not override. Units are in the names.
 */
import { z } from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';

/** How urgent the work of a workspace is. */
export const WorkClass = {
  /** Someone waits for the answer. */
  Prompt: 'prompt',
  /** May wait. */
  Bulk: 'bulk',
} as const;
export type WorkClass = ValueOf<typeof WorkClass>;

/** What becomes of running answers when their key is withdrawn. */
export const WithdrawalPolicy = { Finish: 'finish', Cancel: 'cancel' } as const;
export type WithdrawalPolicy = ValueOf<typeof WithdrawalPolicy>;

/** The policies that any level may override. */
export const policySchema = z.strictObject({
  workClass: z.enum(WorkClass),
  /** Share of capacity in proportion to the weights of other workspaces. */
  weight: z.number().positive(),
  /** Requests that the workspace may have running at once. */
  maximumRunning: z.number().int().positive(),
  /** Requests that may wait for a place. */
  maximumWaiting: z.number().int().nonnegative(),
  /** Longest wait before a request is refused as not run. */
  queueMilliseconds: z.number().int().positive(),
  /** Longest silence of an upstream that runs a request. */
  progressMilliseconds: z.number().int().positive(),
  /** Longest time from admission to the end of the answer. */
  requestMilliseconds: z.number().int().positive(),
  /** Attempts of an idempotent request, the first included. */
  maximumAttempts: z.number().int().positive(),
  onWithdrawal: z.enum(WithdrawalPolicy),
  /** Weight versions by which a sample may lag behind the trainer. */
  stalenessBound: z.number().int().nonnegative(),
});
export type Policy = z.infer<typeof policySchema>;

/** The policy at the root where a tree says nothing. */
export const defaultPolicy: Policy = {
  workClass: WorkClass.Prompt,
  weight: 1,
  maximumRunning: 64,
  maximumWaiting: 256,
  queueMilliseconds: 10_000,
  progressMilliseconds: 10_000,
  requestMilliseconds: 120_000,
  maximumAttempts: 3,
  onWithdrawal: WithdrawalPolicy.Finish,
  stalenessBound: 1,
};

const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]*$/,
    'Write lower-case letters, digits and dashes, such as "planner-lm".',
  );
const policyOverridesSchema = policySchema.partial().prefault({});

export const serviceSchema = z.strictObject({
  kind: z.enum({ Engine: 'engine', Plain: 'plain' }),
  /** Path prefix by which callers reach a plain service, such as `/depot`. */
  path: z
    .string()
    .regex(
      /^\/[a-z0-9/-]+$/,
      'Start with a slash and write lower-case letters, digits and dashes, such as "/depot".',
    )
    .optional(),
  /** Models by which callers reach an engine service. */
  models: z.array(z.string().min(1)).default([]),
  /** Whether requests without a key are let in. */
  open: z.boolean().default(false),
  /** Whether a call may be repeated when its outcome is unknown. */
  idempotent: z.boolean().default(true),
  policy: policyOverridesSchema,
});

export const keySchema = z.strictObject({
  /** SHA-256 of the key in hexadecimal; the key itself is stored nowhere. */
  digest: z
    .string()
    .regex(
      /^[0-9a-f]{64}$/,
      'Write 64 hexadecimal digits in lower case; `shallotquay key digest` prints them.',
    ),
  withdrawn: z.boolean().default(false),
});

export const workspaceSchema = z.strictObject({
  policy: policyOverridesSchema,
  /** Services that the workspace may use. */
  services: z.array(nameSchema),
  keys: z.record(nameSchema, keySchema).default({}),
});

/** Someone who may read and change the settings. */
export const operatorSchema = keySchema;

export const usageSettingsSchema = z.strictObject({
  /** Length of the windows in which usage is reported. */
  windowMilliseconds: z.number().int().min(1_000).default(3_600_000),
  /** Longest wait for the figures of entries after a window has ended. */
  lateMilliseconds: z.number().int().nonnegative().default(30_000),
});

export const treeSchema = z.strictObject({
  policy: policyOverridesSchema,
  services: z.record(nameSchema, serviceSchema),
  workspaces: z.record(nameSchema, workspaceSchema),
  operators: z.record(nameSchema, operatorSchema).default({}),
  usage: usageSettingsSchema.prefault({}),
});

/** A checked settings tree. */
export type Tree = z.infer<typeof treeSchema>;
export type ServiceSettings = z.infer<typeof serviceSchema>;
export type WorkspaceSettings = z.infer<typeof workspaceSchema>;

/**
 * The policy in force for a workspace that uses a service: the root, then the service, then the
 * workspace; the last that says something goes.
 */
export const effectivePolicy = (
  tree: Tree,
  service: ServiceSettings,
  workspace: WorkspaceSettings | undefined,
): Policy => ({
  ...defaultPolicy,
  ...(tree.policy as Partial<Policy>),
  ...(service.policy as Partial<Policy>),
  ...((workspace?.policy ?? {}) as Partial<Policy>),
});
