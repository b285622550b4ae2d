/**
 * `shallotquay run FILE NAME`: runs one daemon of an installation until SIGTERM or SIGINT.
 */
import { createLog } from '../../../infrastructure/log/node/log.js';
import { loadInstallation } from '../../../service/configuration/node/loadInstallation.js';
import { openDaemon, type Daemon } from '../../../daemon/main/node/daemon.js';
import { ExitCode } from '../../main/common/exitCode.js';
import type { RegisterSubcommand, SubcommandContext } from '../../main/node/subcommand.js';

const helpText = `
SIGTERM and SIGINT stop the daemon gracefully: it is no longer advised to callers,
rejects new connections and completes running answers. A second signal stops it
immediately.

Example:
  shallotquay run examples/kestrelkloof.toml gp-north-1`;

interface RunOptions {
  readonly logLevel: string;
}

/** Stops the daemon on a signal; resolves when it has stopped. */
const runUntilSignal = (daemon: Daemon): Promise<void> =>
  new Promise((resolve) => {
    let signals = 0;
    const stop = (): void => {
      signals += 1;
      const closing = signals === 1 ? daemon.closeGracefully() : daemon.dispose();
      void closing.then(resolve);
    };
    process.on('SIGTERM', stop);
    process.on('SIGINT', stop);
  });

const runDaemon = async (
  file: string,
  name: string,
  options: RunOptions,
  context: SubcommandContext,
): Promise<void> => {
  const reportError = (message: string): void => {
    context.writeError(`${message}\n`);
    context.setExitCode(ExitCode.InvalidInput);
  };
  const installation = loadInstallation(file);
  if (installation.isErr()) {
    reportError(installation.error.message);
    return;
  }
  const log = createLog(name, options.logLevel);
  const daemon = await openDaemon({ ...installation.value, name, log });
  if (daemon.isErr()) {
    reportError(daemon.error.message);
    return;
  }
  await runUntilSignal(daemon.value);
};

/** Registers `run` with the program. */
export const registerRunCommand: RegisterSubcommand = (program, context) => {
  program
    .command('run')
    .description('run one daemon of an installation')
    .argument('<file>', 'deployment file in TOML')
    .argument('<name>', 'name of the daemon in the deployment file')
    .option('--log-level <level>', 'minimum level of log lines: debug, info, warn or error', 'info')
    .addHelpText('after', helpText)
    .action((file: string, name: string, options: RunOptions) =>
      runDaemon(file, name, options, context),
    );
};
