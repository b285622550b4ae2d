/**
 * Spans of tokens by the weight version and the start of the engine that made them, taken from what the
 * engine says with each chunk and never from what was asked for.
 */
import type { VersionSpan } from '../../traffic/common/trafficTables.js';

/** Adds tokens to the last span where it has the same origin, and begins a new span where not. */
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

/** The oldest weight version among the spans, or undefined where there are none. */
export const oldestVersion = (spans: readonly VersionSpan[]): number | undefined =>
  spans.length === 0 ? undefined : Math.min(...spans.map((span) => span.weightVersion));
