/**
 * The command `shallotquay`: parses the arguments and runs the selected subcommand.
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
import { registerZonesCommand } from '../../zones/node/zonesCommand.js';
import { ExitCode } from '../common/exitCode.js';
import type { ProgramStreams, RegisterSubcommand, SubcommandContext } from './subcommand.js';

/** The subcommands by name, in the order of the help text. */
const subcommands: Readonly<Record<string, RegisterSubcommand>> = {
  check: registerCheckCommand,
  explain: registerExplainCommand,
  key: registerKeyCommand,
  member: registerMemberCommand,
  run: registerRunCommand,
  status: registerStatusCommand,
  timeline: registerTimelineCommand,
  tree: registerTreeCommand,
  zones: registerZonesCommand,
};

const exitCodesText = `
Exit codes:
  ${ExitCode.Success}  success
  ${ExitCode.Failure}  the operation failed
  ${ExitCode.InvalidInput}  the arguments, the settings or the standard input are invalid`;

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

/** Maps an error to an exit code: commander throws for invalid arguments, but also for `--help`. */
const handleProgramError = (error: unknown, streams: ProgramStreams): ExitCode => {
  if (error instanceof CommanderError) {
    return error.exitCode === 0 ? ExitCode.Success : ExitCode.InvalidInput;
  }
  const cause = error instanceof Error ? error.message : String(error);
  streams.writeError(`Unexpected error: ${cause}; report it together with the arguments.\n`);
  return ExitCode.Failure;
};

/** Runs the program; `argv` has the arguments without executable and script. Never rejects. */
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
