/**
 * `shallotquay key digest`: the digest of a key, as a settings tree holds it.
 */
import { createKey, digestOfKey } from '../../../service/configuration/node/keyDigest.js';
import { registerKeyManagementCommands } from './keyManagementCommands.js';
import { ExitCode } from '../../main/common/exitCode.js';
import type { RegisterSubcommand, SubcommandContext } from '../../main/node/subcommand.js';

interface DigestOptions {
  readonly random?: boolean;
}

const helpText = `
The key is stored nowhere: keep it when it is printed, and put only the digest
into the settings tree.

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
    context.writeError('standard input is empty; write a key to it, or make one by --random\n');
    context.setExitCode(ExitCode.InvalidInput);
    return;
  }
  context.writeOutput(`key ${key}\ndigest ${digestOfKey(key)}\n`);
};

/** Adds `key` with its subcommand `digest` to the program. */
export const registerKeyCommand: RegisterSubcommand = (program, context) => {
  const key = program.command('key').description('work with the keys of callers');
  registerKeyManagementCommands(key, context);
  key
    .command('digest')
    .description('print a key once, and its SHA-256 digest; the key is read on standard input')
    .option('--random', 'make a random key in place of reading one')
    .addHelpText('after', helpText)
    .action((options: DigestOptions) => printDigest(options, context));
};
