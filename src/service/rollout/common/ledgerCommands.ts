/**
 * The commands of the ledger: the replicated log entries that change lots, samples and batches. One
 * command carries many samples, so that the log grows by a few bytes per sample.
 */
import * as z from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';
import { spanSchema } from '../../protocol/common/trainerProtocol.js';

/** How a running sample is handled when its engine switches to another weight version. */
export const SwapPolicy = {
  /** The sample keeps running, and its spans name both versions. */
  Continue: 'continue',
  /** The sample is rerun from its prompt, so that each sample has one version. */
  Restart: 'restart',
} as const;
export type SwapPolicy = ValueOf<typeof SwapPolicy>;

/** Reasons for the failure of a lot. */
export const LotFailureKind = { DeadlinePassed: 'deadlinePassed' } as const;
export type LotFailureKind = ValueOf<typeof LotFailureKind>;

const nonNegativeInteger = z.number().int().nonnegative();
const lotIdentifier = z.string().min(1);

/** Opens a lot; has no effect on a lot that is already open. */
export const lotOpenedSchema = z.object({
  kind: z.literal('lotOpened'),
  lot: lotIdentifier,
  workspace: z.string(),
  service: z.string(),
  model: z.string(),
  step: nonNegativeInteger,
  trainerVersion: nonNegativeInteger,
  stalenessBound: nonNegativeInteger,
  swapPolicy: z.enum(SwapPolicy),
  groupCount: z.number().int().positive(),
  groupSize: z.number().int().positive(),
  maximumTokens: z.number().int().positive(),
  owner: z.string(),
  /** Digest of the prompts; distinguishes a resent request from a conflicting one. */
  promptDigest: z.string(),
  /** Daemons that store the prompts on disk. */
  holders: z.array(z.string()),
  /** Milliseconds left to deliver the lot; each daemon derives a deadline on its own clock. */
  remaining: z.number().positive(),
});

/** Completes samples; the first completion of a sample wins and later ones are ignored. */
export const samplesCompletedSchema = z.object({
  kind: z.literal('samplesCompleted'),
  lot: lotIdentifier,
  /** Fencing token of the owner; completions of an earlier owner are rejected. */
  epoch: nonNegativeInteger,
  samples: z.array(
    z.object({
      sample: z.string(),
      attempt: z.string(),
      /** Daemons that store the text on disk. */
      holders: z.array(z.string()),
      spans: z.array(spanSchema),
    }),
  ),
});

/** Acknowledges the batches before a cursor and raises the trainer's weight version. */
export const trainerAdvancedSchema = z.object({
  kind: z.literal('trainerAdvanced'),
  lot: lotIdentifier,
  cursor: nonNegativeInteger,
  trainerVersion: nonNegativeInteger,
});

/** Applies the effects of `trainerAdvanced`, then assigns samples to a cursor. */
export const batchAssignedSchema = z.object({
  kind: z.literal('batchAssigned'),
  lot: lotIdentifier,
  cursor: nonNegativeInteger,
  trainerVersion: nonNegativeInteger,
  samples: z.array(z.string()).min(1),
});

/** Withdraws a batch that the trainer requests again after its samples have become stale. */
export const batchWithdrawnSchema = z.object({
  kind: z.literal('batchWithdrawn'),
  lot: lotIdentifier,
  cursor: nonNegativeInteger,
  trainerVersion: nonNegativeInteger,
});

/** Fails a lot that cannot be delivered. */
export const lotFailedSchema = z.object({
  kind: z.literal('lotFailed'),
  lot: lotIdentifier,
  failure: z.enum(LotFailureKind),
});

/** Transfers a lot to another owner. */
export const lotTakenOverSchema = z.object({
  kind: z.literal('lotTakenOver'),
  lot: lotIdentifier,
  owner: z.string(),
  /** The epoch of the previous owner plus 1. */
  epoch: nonNegativeInteger,
});

/** Removes a lot and deletes its bodies. */
export const lotDroppedSchema = z.object({ kind: z.literal('lotDropped'), lot: lotIdentifier });

/** The schemas of all commands of the ledger. */
export const ledgerCommandSchemas = [
  lotOpenedSchema,
  samplesCompletedSchema,
  trainerAdvancedSchema,
  batchAssignedSchema,
  batchWithdrawnSchema,
  lotFailedSchema,
  lotTakenOverSchema,
  lotDroppedSchema,
] as const;
export type LedgerCommand = z.infer<(typeof ledgerCommandSchemas)[number]>;
