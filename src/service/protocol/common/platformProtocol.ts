/**
 * HTTP protocols of the platform: the weight store, orders of upstreams by availability zone, and
 * usage reports. These schemas validate the JSON bodies on receipt.
 */
import * as z from 'zod';

/**
 * Path of usage reports: one per closed window and workspace; a resend repeats the same figures.
 */
export const usageReportsPath = '/usage/v1/reports';

export const usageReportSchema = z.strictObject({
  /** Identifies the window; all reports of the same window must be equal. */
  window: z.string().min(1),
  workspace: z.string().min(1),
  promptTokens: z.number().int(),
  completionTokens: z.number().int(),
  requests: z.number().int(),
  /** Usage of earlier windows that was received after they were reported. */
  adjustments: z.array(
    z.strictObject({
      window: z.string().min(1),
      promptTokens: z.number().int(),
      completionTokens: z.number().int(),
      requests: z.number().int(),
    }),
  ),
  /** Fencing token of the sender. */
  fencing: z.number().int().nonnegative(),
});
export type UsageReport = z.infer<typeof usageReportSchema>;

/** Path of orders that change the number of upstreams in an availability zone. */
export const upstreamOrdersPath = '/ordering/v1/orders';

export const upstreamOrderSchema = z.strictObject({
  order: z.string().min(1),
  fencing: z.number().int().nonnegative(),
  zone: z.string().min(1),
  service: z.string().min(1),
  reclaimable: z.boolean(),
  /** Desired total number of upstreams in this zone, not a difference. */
  count: z.number().int().nonnegative(),
});
export type UpstreamOrder = z.infer<typeof upstreamOrderSchema>;

/** Weight store: `GET /weights/v1/{service}/{version}` returns the weights at a limited rate. */
export const weightsPath = '/weights/v1';
