/**
 * Test helper that runs the program with empty standard input and captures its output.
 */
import { Readable } from 'node:stream';
import type { ExitCode } from '../../common/exitCode.js';
import { runProgram } from '../../node/program.js';

export interface CommandRun {
  readonly exitCode: ExitCode;
  readonly output: string;
  readonly error: string;
}

/** Runs the program; `argv` has the arguments without executable and script. */
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
