/**
 * The replicated tables of the ledger: lots, samples and batches.
 */
import * as z from 'zod';
import { Topic } from '../../consensus/common/command.js';
import {
  createIdentifierSchema,
  type ReplicatedTables,
} from '../../consensus/common/replicatedTable.js';
import { spanSchema } from '../../protocol/common/trainerProtocol.js';
import type {
  AttemptId,
  BatchId,
  DaemonId,
  GroupId,
  LotId,
  SampleId,
  ServiceName,
  WorkspaceName,
} from '../../world/common/identifiers.js';
import { LotFailureKind, lotOpenedSchema } from './ledgerCommands.js';
import { LotState, SampleState } from './ledgerRows.js';
import { restoreLotClocks } from './putLot.js';

const count = z.number().int().nonnegative();
const lot = createIdentifierSchema<LotId>();
const daemon = createIdentifierSchema<DaemonId>();
const sample = createIdentifierSchema<SampleId>();

export const replicatedLedgerTables: ReplicatedTables<'lots' | 'samples' | 'batches'> = {
  lots: {
    topic: Topic.Control,
    rowSchema: lotOpenedSchema.omit({ kind: true, lot: true }).extend({
      id: lot,
      workspace: createIdentifierSchema<WorkspaceName>(),
      service: createIdentifierSchema<ServiceName>(),
      state: z.enum(LotState),
      failure: z.enum(LotFailureKind).nullable(),
      owner: daemon,
      epoch: count,
      holders: z.array(daemon),
      nextCursor: count,
      undelivered: count,
    }),
    onDidRestore: restoreLotClocks,
  },
  samples: {
    topic: Topic.Control,
    rowSchema: z.object({
      id: sample,
      lot,
      group: createIdentifierSchema<GroupId>(),
      position: count,
      state: z.enum(SampleState),
      attempt: createIdentifierSchema<AttemptId>().nullable(),
      spans: z.array(spanSchema),
      holders: z.array(daemon),
    }),
  },
  batches: {
    topic: Topic.Control,
    rowSchema: z.object({
      id: createIdentifierSchema<BatchId>(),
      lot,
      cursor: count,
      samples: z.array(sample),
      nextCursor: count.nullable(),
      acknowledged: z.boolean(),
    }),
  },
};
