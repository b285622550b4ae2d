/**
 * The replicated tables of jobs. Runs are derived from the unlisted items
 * by the daemon that runs the job.
 */
import * as z from 'zod';
import { Topic } from '../../consensus/common/command.js';
import {
  createIdentifierSchema,
  type ReplicatedTables,
} from '../../consensus/common/replicatedTable.js';
import {
  jobItemSchema,
  jobSubmittedSchema,
  listedItemSchema,
  savedTextSchema,
} from './jobCommands.js';
import { JobState, type ItemId, type JobId, type ResultId } from './jobTables.js';

const count = z.number().int().nonnegative();
const job = createIdentifierSchema<JobId>();

export const replicatedJobTables: ReplicatedTables<'jobs' | 'jobItems' | 'jobResults'> = {
  jobs: {
    topic: Topic.Voters,
    rowSchema: jobSubmittedSchema.omit({ kind: true, job: true, items: true }).extend({
      id: job,
      state: z.enum(JobState),
      newestVersion: z.number(),
      tokens: z.number(),
      total: count,
      listed: count,
      runner: z.string().nullable().default(null),
      formerHolders: z.array(z.string()).readonly().default([]),
    }),
  },
  jobItems: {
    topic: Topic.Voters,
    rowSchema: jobItemSchema.extend({
      id: createIdentifierSchema<ItemId>(),
      job,
      isListed: z.boolean(),
      saved: savedTextSchema.nullable(),
    }),
  },
  jobResults: {
    topic: Topic.Voters,
    rowSchema: listedItemSchema.extend({ id: createIdentifierSchema<ResultId>(), job }),
  },
};
