/**
 * What a subcommand is given, so that it can run inside a test as well as in its own process.
 */
import type { Command } from 'commander';
import type { ExitCode } from '../common/exitCode.js';

/** The streams of the process. */
export interface ProgramStreams {
  readonly standardInput: AsyncIterable<string | Uint8Array>;
  readonly writeOutput: (text: string) => void;
  readonly writeError: (text: string) => void;
}

/** What a subcommand works with. */
export interface SubcommandContext extends ProgramStreams {
  /** Sets the code with which the process exits; success without it. */
  readonly setExitCode: (code: ExitCode) => void;
}

/** Adds a subcommand, with its options, help and action, to the program. */
export type RegisterSubcommand = (program: Command, context: SubcommandContext) => void;
