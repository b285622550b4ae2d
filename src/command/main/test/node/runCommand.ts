/**
 * Runs the program for a test, without standard input, and keeps what it writes.
 */
import { Readable } from 'node:stream';
import type { ExitCode } from '../../common/exitCode.js';
import { runProgram } from '../../node/program.js';

export interface CommandRun {
  readonly exitCode: ExitCode;
  readonly output: string;
  readonly error: string;
}

/** Runs the program with the arguments after the name of the script. */
export const runCommand = async (argv: readonly string[]): Promise<CommandRun> => {
  const written = { output: '', error: '' };
  const exitCode = await runProgram(argv, {
    standardInput: Readable.from([]),
    writeOutput: (text) => {
      written.output += text;
    },
    writeError: (text) => {
      written.error += text;
    },
  });
  return { exitCode, ...written };
};
