/**
 * Schema of the settings tree: the root, services, and workspaces with their keys. The root, a
 * service and a workspace may each define policies and inherit those that they don't override.
 * Names of durations include their unit.
 */
import * as z from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';

/** Scheduling class of the requests of a workspace. */
export const WorkClass = {
  /** Interactive: a caller waits for the answer. */
  Prompt: 'prompt',
  /** Batch work that may be delayed. */
  Bulk: 'bulk',
} as const;
export type WorkClass = ValueOf<typeof WorkClass>;

/** Whether running requests finish or are cancelled when their key is withdrawn. */
export const WithdrawalPolicy = { Finish: 'finish', Cancel: 'cancel' } as const;
export type WithdrawalPolicy = ValueOf<typeof WithdrawalPolicy>;

/** Policies that the root, a service and a workspace may override. */
export const policySchema = z.strictObject({
  workClass: z.enum(WorkClass),
  /** Relative share of capacity, compared with the weights of other workspaces. */
  weight: z.number().positive(),
  /** Maximum number of concurrently running requests of the workspace. */
  maximumRunning: z.number().int().positive(),
  /** Maximum number of requests of the workspace that wait for an upstream. */
  maximumWaiting: z.number().int().nonnegative(),
  /** Maximum time in the queue; the request is then refused as not run. */
  queueMilliseconds: z.number().int().positive(),
  /** Maximum time without progress from the upstream that runs a request. */
  progressMilliseconds: z.number().int().positive(),
  /** Maximum time from admission to the end of the answer. */
  requestMilliseconds: z.number().int().positive(),
  /** Maximum number of attempts of an idempotent request, including the first. */
  maximumAttempts: z.number().int().positive(),
  onWithdrawal: z.enum(WithdrawalPolicy),
  /** Maximum number of weight versions by which a sample may lag behind the trainer. */
  stalenessBound: z.number().int().nonnegative(),
});
export type Policy = z.infer<typeof policySchema>;

/** Default policy; applies to every value that no level of the tree defines. */
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
    'Use lower-case letters, digits and dashes, such as "planner-lm".',
  );
const policyOverridesSchema = policySchema.partial().prefault({});

export const serviceSchema = z.strictObject({
  kind: z.enum({ Engine: 'engine', Plain: 'plain' }),
  /** Path prefix that routes calls to a plain service, such as `/depot`. */
  path: z
    .string()
    .regex(
      /^\/[a-z0-9/-]+$/,
      'Start with a slash and use lower-case letters, digits and dashes, such as "/depot".',
    )
    .optional(),
  /** Model names that route requests to an engine service. */
  models: z.array(z.string().min(1)).default([]),
  /** Whether requests without a key are admitted. */
  open: z.boolean().default(false),
  /** Whether a call may be retried when its outcome is unknown. */
  idempotent: z.boolean().default(true),
  policy: policyOverridesSchema,
});

export const keySchema = z.strictObject({
  /** SHA-256 of the key in hexadecimal; the key itself is never stored. */
  digest: z
    .string()
    .regex(
      /^[0-9a-f]{64}$/,
      'Use 64 lower-case hexadecimal digits; `shallotquay key digest` prints them.',
    ),
  withdrawn: z.boolean().default(false),
});

export const workspaceSchema = z.strictObject({
  policy: policyOverridesSchema,
  /** Services that the workspace may use. */
  services: z.array(nameSchema),
  keys: z.record(nameSchema, keySchema).default({}),
});

/** Key of an operator, who may read and change the settings. */
export const operatorSchema = keySchema;

export const usageSettingsSchema = z.strictObject({
  /** Length of a usage reporting window. */
  windowMilliseconds: z.number().int().min(1_000).default(3_600_000),
  /** Maximum wait for the usage reports of entries after a window has closed. */
  lateMilliseconds: z.number().int().nonnegative().default(30_000),
});

export const treeSchema = z.strictObject({
  policy: policyOverridesSchema,
  services: z.record(nameSchema, serviceSchema),
  workspaces: z.record(nameSchema, workspaceSchema),
  operators: z.record(nameSchema, operatorSchema).default({}),
  usage: usageSettingsSchema.prefault({}),
});

/** A validated settings tree. */
export type Tree = z.infer<typeof treeSchema>;
export type ServiceSettings = z.infer<typeof serviceSchema>;
export type WorkspaceSettings = z.infer<typeof workspaceSchema>;

/**
 * Computes the policy for a workspace that uses a service. Precedence, lowest first: defaults,
 * root, service, workspace.
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
