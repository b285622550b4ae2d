/**
 * Commands of the replicated log: the union of the commands of all components, which are the
 * folders of this layer. Every daemon that receives the topic of a command applies it in log order.
 * Replicated state changes only through commands.
 */
import * as z from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';
import {
  keyIssueSchema,
  keyRotateSchema,
  keyWithdrawSchema,
  treeSeededSchema,
  treeSetSchema,
} from '../../configuration/common/configurationCommands.js';
import { declarationSetSchema } from '../../declaration/common/declarationCommands.js';
import { jobCommandSchemas } from '../../jobs/common/jobCommands.js';
import { meteringCommandSchemas } from '../../metering/common/meteringCommands.js';
import { orderClosedSchema, orderIntendedSchema } from '../../orders/common/orderCommands.js';
import { evacuationCommandSchemas } from '../../places/common/evacuationCommands.js';
import { ledgerCommandSchemas } from '../../rollout/common/ledgerCommands.js';
import { daemonRetiredSchema, votersSetSchema } from './voterCommands.js';
import { versionNamedSchema } from '../../weights/common/versionCommands.js';

/** Topic of a command; selects the daemons that apply it. */
export const Topic = {
  /** Applied by every daemon: configuration and all other state that routing depends on. */
  Configuration: 'configuration',
  /** Applied by voters, relays and the proposing daemon: orders and the ledger of samples. */
  Control: 'control',
  /** Applied by voters and relays only; the leader sends the outcome to the proposer. */
  Voters: 'voters',
} as const;
export type Topic = ValueOf<typeof Topic>;

/** Appended by a new leader, so that entries of earlier terms can be committed. */
export const leadershipTakenSchema = z.object({
  kind: z.literal('leadershipTaken'),
  leader: z.string(),
});

/** Schema of all commands; each component adds its own schemas here. */
export const commandSchema = z.discriminatedUnion('kind', [
  leadershipTakenSchema,
  votersSetSchema,
  daemonRetiredSchema,
  treeSeededSchema,
  treeSetSchema,
  keyIssueSchema,
  keyWithdrawSchema,
  keyRotateSchema,
  orderIntendedSchema,
  orderClosedSchema,
  ...ledgerCommandSchemas,
  declarationSetSchema,
  ...jobCommandSchemas,
  versionNamedSchema,
  ...meteringCommandSchemas,
  ...evacuationCommandSchemas,
]);
export type Command = z.infer<typeof commandSchema>;

/** The topic of each kind of command. */
export const topicOfCommand: Readonly<Record<Command['kind'], Topic>> = {
  leadershipTaken: Topic.Configuration,
  votersSet: Topic.Voters,
  daemonRetired: Topic.Voters,
  treeSeeded: Topic.Configuration,
  treeSet: Topic.Configuration,
  keyIssue: Topic.Configuration,
  keyWithdraw: Topic.Configuration,
  keyRotate: Topic.Configuration,
  orderIntended: Topic.Control,
  orderClosed: Topic.Control,
  lotOpened: Topic.Control,
  samplesCompleted: Topic.Control,
  trainerAdvanced: Topic.Control,
  batchAssigned: Topic.Control,
  batchWithdrawn: Topic.Control,
  lotFailed: Topic.Control,
  lotTakenOver: Topic.Control,
  lotDropped: Topic.Control,
  declarationSet: Topic.Configuration,
  jobSubmitted: Topic.Voters,
  itemsListed: Topic.Voters,
  textsSaved: Topic.Voters,
  textsDiscarded: Topic.Voters,
  jobEnded: Topic.Voters,
  jobForgotten: Topic.Voters,
  runnerSet: Topic.Voters,
  holdersSet: Topic.Voters,
  versionNamed: Topic.Voters,
  usageCounted: Topic.Voters,
  usageFrozen: Topic.Voters,
  usageReported: Topic.Voters,
  zoneEvacuated: Topic.Configuration,
  zoneRestored: Topic.Configuration,
};
