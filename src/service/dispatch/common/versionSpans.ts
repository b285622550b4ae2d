/**
 * Spans of tokens with the weight version and the incarnation of the engine that generated them.
 * They are derived from what the engine reports with each chunk, never from what was requested.
 */
import type { VersionSpan } from '../../traffic/common/trafficTables.js';

/** Adds tokens to the last span if version and incarnation match, or appends a new span. */
export const appendSpan = (
  spans: readonly VersionSpan[],
  added: VersionSpan,
): readonly VersionSpan[] => {
  const last = spans.at(-1);
  const hasSameOrigin =
    last !== undefined &&
    last.weightVersion === added.weightVersion &&
    last.incarnation === added.incarnation;
  if (!hasSameOrigin) return [...spans, added];
  return [...spans.slice(0, -1), { ...last, tokens: last.tokens + added.tokens }];
};

/** Returns the oldest weight version among the spans, or undefined if there are none. */
export const oldestVersion = (spans: readonly VersionSpan[]): number | undefined =>
  spans.length === 0 ? undefined : Math.min(...spans.map((span) => span.weightVersion));
