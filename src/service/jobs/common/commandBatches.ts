/**
 * Divides what is proposed about the items of one job among commands, so that the entry of a command
 * is no larger than what the log sends in one message.
 */
import { computeEncodedBytes } from '../../../base/common/encodedSize.js';
import {
  divideIntoBatches,
  maximumBatchBytes,
} from '../../../infrastructure/wire/common/frameLimits.js';

/** Maximum number of items in one command. */
const maximumItemsPerCommand = 1_024;

/** Divides rows among commands, in order; a row that exceeds the size is in a command alone. */
export const divideIntoCommands = <Row>(rows: readonly Row[]): Row[][] =>
  divideIntoBatches(rows, computeEncodedBytes, {
    maximumRows: maximumItemsPerCommand,
    maximumBytes: maximumBatchBytes,
  }).map((batch) => [...batch]);
