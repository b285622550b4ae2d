/**
 * Commands of metering: daemons fold their counts of a window into the agreed state once; the leader
 * freezes the window before its first report, so that every report of it is the same.
 */
import { z } from 'zod';

const window = z.number().int().nonnegative();
const counts = z.record(z.string(), z.number().int().nonnegative());
export type UsageCounts = z.infer<typeof counts>;

/** What one daemon counted in one window; its proposal is applied once. */
export const usageCountedSchema = z.object({ kind: z.literal('usageCounted'), window, counts });

/** Takes no more counts for the window and those before it. */
export const usageFrozenSchema = z.object({ kind: z.literal('usageFrozen'), window });

/** The report of the window was accepted. */
export const usageReportedSchema = z.object({ kind: z.literal('usageReported'), window });

export const meteringCommandSchemas = [
  usageCountedSchema,
  usageFrozenSchema,
  usageReportedSchema,
] as const;
export type MeteringCommand = z.infer<(typeof meteringCommandSchemas)[number]>;
