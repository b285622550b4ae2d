/**
 * The commands of the ledger: how lots, their samples and their batches change in the agreed state. A
 * command names many samples at once, so that the log grows by a few bytes a sample.
 */
import { z } from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';
import { spanSchema } from '../../protocol/common/trainerProtocol.js';

/** What becomes of a running sample when its engine changes to other weights. */
export const SwapPolicy = {
  /** It goes on, and its spans name both versions. */
  Continue: 'continue',
  /** It is run again from its prompt, so that each sample has one version. */
  Restart: 'restart',
} as const;
export type SwapPolicy = ValueOf<typeof SwapPolicy>;

/** Why a lot has failed. */
export const LotFailureKind = { DeadlinePassed: 'deadlinePassed' } as const;
export type LotFailureKind = ValueOf<typeof LotFailureKind>;

const nonNegativeInteger = z.number().int().nonnegative();
const lotIdentifier = z.string().min(1);

/** Opens a lot; a lot that is open already stays as it is. */
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
  /** Digest of the prompts, which tells a resent request from another one. */
  promptDigest: z.string(),
  /** Daemons that have the prompts on disk. */
  holders: z.array(z.string()),
  /** Milliseconds that are left to deliver the lot; each daemon keeps its own deadline. */
  remaining: z.number().positive(),
});

/** Completes samples; each is completed once, whatever comes later. */
export const samplesCompletedSchema = z.object({
  kind: z.literal('samplesCompleted'),
  lot: lotIdentifier,
  /** Fencing number of the owner; completions of an earlier owner are refused. */
  epoch: nonNegativeInteger,
  samples: z.array(
    z.object({
      sample: z.string(),
      attempt: z.string(),
      /** Daemons that have the text on disk. */
      holders: z.array(z.string()),
      spans: z.array(spanSchema),
    }),
  ),
});

/** Acknowledges the batches before a cursor and raises the weight version of the trainer. */
export const trainerAdvancedSchema = z.object({
  kind: z.literal('trainerAdvanced'),
  lot: lotIdentifier,
  cursor: nonNegativeInteger,
  trainerVersion: nonNegativeInteger,
});

/** Assigns samples to a cursor, after what `trainerAdvanced` does. */
export const batchAssignedSchema = z.object({
  kind: z.literal('batchAssigned'),
  lot: lotIdentifier,
  cursor: nonNegativeInteger,
  trainerVersion: nonNegativeInteger,
  samples: z.array(z.string()).min(1),
});

/** Takes back a batch that the trainer asks for again after it has become too old. */
export const batchWithdrawnSchema = z.object({
  kind: z.literal('batchWithdrawn'),
  lot: lotIdentifier,
  cursor: nonNegativeInteger,
  trainerVersion: nonNegativeInteger,
});

/** Ends a lot that cannot be delivered. */
export const lotFailedSchema = z.object({
  kind: z.literal('lotFailed'),
  lot: lotIdentifier,
  failure: z.enum(LotFailureKind),
});

/** Gives a lot to another owner. */
export const lotTakenOverSchema = z.object({
  kind: z.literal('lotTakenOver'),
  lot: lotIdentifier,
  owner: z.string(),
  /** One more than the number of the owner before. */
  epoch: nonNegativeInteger,
});

/** Forgets a lot and deletes its bodies. */
export const lotDroppedSchema = z.object({ kind: z.literal('lotDropped'), lot: lotIdentifier });

/** The commands of the ledger. */
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
