/**
 * `shallotquay check FILE`: validates a deployment file and its settings tree.
 */
import type { Installation } from '../../../service/configuration/node/loadInstallation.js';
import { loadInstallation } from '../../../service/configuration/node/loadInstallation.js';
import { ExitCode } from '../../main/common/exitCode.js';
import type { RegisterSubcommand, SubcommandContext } from '../../main/node/subcommand.js';

const helpText = `
Every fault of both files is printed to standard error as "path: message", below
the name of its file, and the exit code is ${ExitCode.InvalidInput}.

Example:
  shallotquay check examples/kestrelkloof.toml`;

const formatSummary = ({ deployment, tree }: Installation): string => {
  const zones = new Set(deployment.daemons.map(({ zone }) => zone));
  return [
    `${deployment.name} is valid: ${deployment.daemons.length} daemons in ${zones.size} zones`,
    `${Object.keys(tree.services).length} services`,
    `${Object.keys(tree.workspaces).length} workspaces`,
  ].join(', ');
};

const checkInstallation = (file: string, context: SubcommandContext): void =>
  loadInstallation(file).match(
    (installation) => context.writeOutput(`${formatSummary(installation)}\n`),
    (error) => {
      context.writeError(`${error.message}\n`);
      context.setExitCode(ExitCode.InvalidInput);
    },
  );

/** Registers `check` with the program. */
export const registerCheckCommand: RegisterSubcommand = (program, context) => {
  program
    .command('check')
    .description('validate a deployment file and its settings tree')
    .argument(
      '<file>',
      'deployment file in TOML; the settings tree that it refers to is also validated',
    )
    .addHelpText('after', helpText)
    .action((file: string) => checkInstallation(file, context));
};
