/**
 * Schemas of the replicated commands of metering. Each daemon adds its counts of a window to the
 * replicated state once. The leader freezes a window before its first report, so that every report
 * of the window is identical.
 */
import * as z from 'zod';

const window = z.number().int().nonnegative();
const counts = z.record(z.string(), z.number().int().nonnegative());
export type UsageCounts = z.infer<typeof counts>;

/** The counts of one daemon in one window; each proposal is applied once. */
export const usageCountedSchema = z.object({ kind: z.literal('usageCounted'), window, counts });

/** Freezes the window: its counts are final from then on. */
export const usageFrozenSchema = z.object({ kind: z.literal('usageFrozen'), window });

/** Records that the report of the window was accepted. */
export const usageReportedSchema = z.object({ kind: z.literal('usageReported'), window });

export const meteringCommandSchemas = [
  usageCountedSchema,
  usageFrozenSchema,
  usageReportedSchema,
] as const;
export type MeteringCommand = z.infer<(typeof meteringCommandSchemas)[number]>;
