/**
 * Limits that all parts of the placement of engines share.
 */
import type { Milliseconds } from '../../../base/common/time.js';

/** Demand is summed over several steps of a trainer, so that engines do not move with each step. */
export const demandWindowMilliseconds: Milliseconds = 20_000;

/** Number of engines by which models must deviate from their shares before an engine is moved. */
export const minimumDeficitToMove = 0.75;
