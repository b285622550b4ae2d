/**
 * Exit codes of the command-line program.
 */
import type { ValueOf } from '../../../base/common/handlers.js';

/** The exit codes. */
export const ExitCode = {
  Success: 0,
  /** The operation failed. */
  Failure: 1,
  /**
   * The arguments, the settings or the standard input are invalid, or an entry refused the request
   * with a 4xx status.
   */
  InvalidInput: 2,
} as const;
export type ExitCode = ValueOf<typeof ExitCode>;
