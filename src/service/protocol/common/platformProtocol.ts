/**
 * The platform's other interfaces: the weight store, the ordering of upstreams by availability zone and
 * the reports of usage. All are HTTP with JSON bodies, validated here at the border.
 */
import { z } from 'zod';

/** Usage: posted once for each closed window of a workspace; a resend repeats the same figures. */
export const usageReportsPath = '/usage/v1/reports';

export const usageReportSchema = z.strictObject({
  /** Identifies the window; two reports of one window must be equal. */
  window: z.string().min(1),
  workspace: z.string().min(1),
  promptTokens: z.number().int(),
  completionTokens: z.number().int(),
  requests: z.number().int(),
  /** Amounts that belong to earlier windows and came late. */
  adjustments: z.array(
    z.strictObject({
      window: z.string().min(1),
      promptTokens: z.number().int(),
      completionTokens: z.number().int(),
      requests: z.number().int(),
    }),
  ),
  /** Fencing number of the sender. */
  fencing: z.number().int().nonnegative(),
});
export type UsageReport = z.infer<typeof usageReportSchema>;

/** Ordering: upstreams are bought and given back by availability zone. */
export const upstreamOrdersPath = '/ordering/v1/orders';

export const upstreamOrderSchema = z.strictObject({
  order: z.string().min(1),
  fencing: z.number().int().nonnegative(),
  zone: z.string().min(1),
  service: z.string().min(1),
  reclaimable: z.boolean(),
  /** The number of upstreams wanted in this zone, not a difference. */
  count: z.number().int().nonnegative(),
});
export type UpstreamOrder = z.infer<typeof upstreamOrderSchema>;

/** Weight store: `GET /weights/v1/{service}/{version}` gives the bytes, limited in rate. */
export const weightsPath = '/weights/v1';
