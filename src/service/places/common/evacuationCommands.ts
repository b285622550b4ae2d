/**
 * The replicated commands with which an operator evacuates an availability zone and withdraws the
 * evacuation.
 */
import * as z from 'zod';

const zone = z.string().min(1);

/**
 * Index of the last entry that the proposer had applied when the operator's request arrived. A
 * change of the zone in a later entry may be an answer to a later request of the operator, so the
 * command must not revert it: proposals can be committed in another order than they were requested.
 */
const seenIndex = z.number().int().nonnegative();

/** Nothing more may be sent to the upstreams of the zone. */
export const zoneEvacuatedSchema = z.object({
  kind: z.literal('zoneEvacuated'),
  zone,
  /** Time of the request in milliseconds since the Unix epoch; for display only. */
  at: z.number(),
  seenIndex,
});

/** Withdraws the evacuation of the zone. */
export const zoneRestoredSchema = z.object({
  kind: z.literal('zoneRestored'),
  zone,
  seenIndex,
});

export const evacuationCommandSchemas = [zoneEvacuatedSchema, zoneRestoredSchema] as const;
export type ZoneEvacuated = z.infer<typeof zoneEvacuatedSchema>;
export type ZoneRestored = z.infer<typeof zoneRestoredSchema>;
export type EvacuationCommand = ZoneEvacuated | ZoneRestored;
