/**
 * `shallotquay key digest`: prints a key and its digest; only the digest is put into the settings
 * tree.
 */
import { createKey, computeKeyDigest } from '../../../service/configuration/node/keyDigest.js';
import { registerKeyManagementCommands } from './keyManagementCommands.js';
import { ExitCode } from '../../main/common/exitCode.js';
import type { RegisterSubcommand, SubcommandContext } from '../../main/node/subcommand.js';

interface DigestOptions {
  readonly random?: boolean;
}

const helpText = `
The key is not stored: save it when it is printed, and put only the digest into
the settings tree.

Examples:
  shallotquay key digest --random
  shallotquay key digest < key.txt`;

const trailingNewline = /\r?\n$/;

const readKey = async ({ standardInput }: SubcommandContext): Promise<string> => {
  const decoder = new TextDecoder();
  let text = '';
  for await (const chunk of standardInput) {
    text += typeof chunk === 'string' ? chunk : decoder.decode(chunk, { stream: true });
  }
  return (text + decoder.decode()).replace(trailingNewline, '');
};

const printDigest = async (options: DigestOptions, context: SubcommandContext): Promise<void> => {
  const key = options.random ? createKey() : await readKey(context);
  if (key === '') {
    context.writeError(
      'Standard input contains no key; write one to it or generate one with --random.\n',
    );
    context.setExitCode(ExitCode.InvalidInput);
    return;
  }
  context.writeOutput(`key ${key}\ndigest ${computeKeyDigest(key)}\n`);
};

/** Registers `key` with its subcommands. */
export const registerKeyCommand: RegisterSubcommand = (program, context) => {
  const key = program.command('key').description('manage the keys of callers');
  registerKeyManagementCommands(key, context);
  key
    .command('digest')
    .description('print a key and its SHA-256 digest; the key is read from standard input')
    .option('--random', 'generate a random key instead of reading one')
    .addHelpText('after', helpText)
    .action((options: DigestOptions) => printDigest(options, context));
};
