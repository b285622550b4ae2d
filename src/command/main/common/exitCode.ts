/**
 * Exit codes of the command.
 */
import type { ValueOf } from '../../../base/common/handlers.js';

/** What the exit code of a process tells. */
export const ExitCode = {
  Success: 0,
  /** The work could not be done. */
  Failure: 1,
  /** The arguments, the settings or the standard input are faulty; nothing was done. */
  InvalidInput: 2,
} as const;
export type ExitCode = ValueOf<typeof ExitCode>;
