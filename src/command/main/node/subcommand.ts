/**
 * The interface between the program and its subcommands. Streams and exit code are injected, so
 * that subcommands can also run inside a test process.
 */
import type { Command } from 'commander';
import type { ExitCode } from '../common/exitCode.js';

/** The standard streams. */
export interface ProgramStreams {
  readonly standardInput: AsyncIterable<string | Uint8Array>;
  readonly writeOutput: (text: string) => void;
  readonly writeError: (text: string) => void;
}

/** The environment of a subcommand. */
export interface SubcommandContext extends ProgramStreams {
  /** Sets the exit code of the process; the default is success. */
  readonly setExitCode: (code: ExitCode) => void;
}

/** Registers a subcommand with its options, help text and action. */
export type RegisterSubcommand = (program: Command, context: SubcommandContext) => void;
