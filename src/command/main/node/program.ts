/**
 * The command `shallotquay`: reads the arguments and runs the subcommand that they name.
 */
import { Command, CommanderError } from 'commander';
import { registerCheckCommand } from '../../check/node/checkCommand.js';
import { registerExplainCommand } from '../../explain/node/explainCommand.js';
import { registerKeyCommand } from '../../key/node/keyCommand.js';
import { registerMemberCommand } from '../../member/node/memberCommand.js';
import { registerRunCommand } from '../../run/node/runCommand.js';
import { registerStatusCommand } from '../../status/node/statusCommand.js';
import { registerTimelineCommand } from '../../timeline/node/timelineCommand.js';
import { registerTreeCommand } from '../../tree/node/treeCommand.js';
import { ExitCode } from '../common/exitCode.js';
import type { ProgramStreams, RegisterSubcommand, SubcommandContext } from './subcommand.js';

/** Every subcommand by its name; the order is that of the help text. */
const subcommands: Readonly<Record<string, RegisterSubcommand>> = {
  check: registerCheckCommand,
  explain: registerExplainCommand,
  key: registerKeyCommand,
  member: registerMemberCommand,
  run: registerRunCommand,
  status: registerStatusCommand,
  timeline: registerTimelineCommand,
  tree: registerTreeCommand,
};

const exitCodesText = `
Exit codes:
  ${ExitCode.Success}  success
  ${ExitCode.Failure}  the work could not be done
  ${ExitCode.InvalidInput}  the arguments, the settings or the standard input are faulty`;

const createProgram = (context: SubcommandContext): Command => {
  const program = new Command('shallotquay')
    .description('Rollout service for reinforcement learning.')
    .showHelpAfterError('(add --help for usage)')
    .addHelpText('after', exitCodesText)
    .configureOutput({ writeOut: context.writeOutput, writeErr: context.writeError })
    .exitOverride();
  Object.values(subcommands).forEach((register) => register(program, context));
  return program;
};

/** The library reports help and faulty arguments by throwing; help that was asked for is success. */
const handleProgramError = (error: unknown, streams: ProgramStreams): ExitCode => {
  if (error instanceof CommanderError) {
    return error.exitCode === 0 ? ExitCode.Success : ExitCode.InvalidInput;
  }
  const cause = error instanceof Error ? error.message : String(error);
  streams.writeError(`unexpected failure: ${cause}; please report it with the arguments\n`);
  return ExitCode.Failure;
};

/** Runs the program. `argv` holds the arguments after the name of the script. Never rejects. */
export const runProgram = async (
  argv: readonly string[],
  streams: ProgramStreams,
): Promise<ExitCode> => {
  let exitCode: ExitCode = ExitCode.Success;
  const setExitCode = (code: ExitCode): void => {
    exitCode = code;
  };
  try {
    await createProgram({ ...streams, setExitCode }).parseAsync([...argv], { from: 'user' });
    return exitCode;
  } catch (error) {
    return handleProgramError(error, streams);
  }
};
