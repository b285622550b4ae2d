/**
 * `shallotquay tree`: reads, edits and explains the settings tree of a running installation.
 */
import { ok, Result } from 'neverthrow';
import type { ExplainedLevel } from '../../../service/configuration/common/explain.js';
import type { TreeChange } from '../../../service/configuration/common/configurationCommands.js';
import type { SettingsHistoryRow } from '../../../service/configuration/common/settingsTables.js';
import { OperatorPath } from '../../../service/protocol/common/operatorProtocol.js';
import { ExitCode } from '../../main/common/exitCode.js';
import type { RegisterSubcommand, SubcommandContext } from '../../main/node/subcommand.js';
import {
  addOperatorOptions,
  requestAndPrint,
  createRequestIdentifier,
  type OperatorOptions,
} from '../../operator/node/operatorClient.js';

interface SetOptions extends OperatorOptions {
  readonly revision: string;
  readonly remove?: boolean;
  readonly request?: string;
}

const setHelpText = `
The value is JSON. The revision is the one printed by \`tree get\`; the edit fails
if someone else has changed the tree since then. An edit that is resent with the
same --request is applied only once and gets the same response.

Examples:
  shallotquay tree set workspaces.depot.policy.weight 4 --revision 7
  shallotquay tree set services.depot.policy --remove --revision 8`;

const withQuery = (path: string, query: Readonly<Record<string, string | undefined>>): string => {
  const entries = Object.entries(query).filter(
    (entry): entry is [string, string] => entry[1] !== undefined,
  );
  return `${path}?${new URLSearchParams(entries).toString()}`;
};

const parseValue = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () => 'The value is not JSON; put strings in double quotes, such as \'"bulk"\'.',
);

const parseChange = (
  value: string | undefined,
  { remove }: SetOptions,
): Result<TreeChange, string> => {
  if (remove) return ok({ kind: 'remove' });
  return parseValue(value ?? '').map((parsed) => ({ kind: 'put', value: parsed }) as TreeChange);
};

const setValue = async (
  path: string,
  value: string | undefined,
  options: SetOptions,
  context: SubcommandContext,
): Promise<void> => {
  const change = parseChange(value, options);
  if (change.isErr()) {
    context.writeError(`${change.error}\n`);
    context.setExitCode(ExitCode.InvalidInput);
    return;
  }
  const body = {
    request: options.request ?? createRequestIdentifier(),
    path,
    change: change.value,
    expectedRevision: Number(options.revision),
  };
  await requestAndPrint(
    context,
    options,
    { path: OperatorPath.Tree, body },
    ({ revision }: { revision: number }) => `accepted as revision ${revision}\n`,
  );
};

const formatTree = ({ revision, value }: { revision: number; value: unknown }): string =>
  `revision ${revision}\n${JSON.stringify(value, null, 2)}\n`;

const formatLevels = ({ levels }: { levels: readonly ExplainedLevel[] }): string =>
  levels
    .map(({ level, value, isInForce }) => {
      const formattedValue = value === null ? 'not set' : JSON.stringify(value);
      return `${isInForce ? '*' : ' '} ${level}: ${formattedValue}\n`;
    })
    .join('');

const formatHistory = ({ edits }: { edits: readonly SettingsHistoryRow[] }): string =>
  edits
    .map(({ revision, operator, path, change }) => {
      const value = change.kind === 'put' ? JSON.stringify(change.value) : 'removed';
      return `${revision} ${operator} ${path === '' ? '(whole tree)' : path} ${value}\n`;
    })
    .join('');

/** Registers `tree` with its subcommands. */
export const registerTreeCommand: RegisterSubcommand = (program, context) => {
  const tree = program.command('tree').description('read and edit the settings tree');
  addOperatorOptions(tree.command('get'))
    .description('print the tree or the value at a path, with the revision')
    .argument('[path]', 'keys joined by dots, such as workspaces.depot.policy', '')
    .action((path: string, options: OperatorOptions) =>
      requestAndPrint(
        context,
        options,
        { path: withQuery(OperatorPath.Tree, { path }) },
        formatTree,
      ),
    );
  addOperatorOptions(tree.command('set'))
    .description('set or remove the value at a path')
    .argument('<path>', 'keys joined by dots; missing parent tables are created')
    .argument('[value]', 'the value as JSON')
    .requiredOption('--revision <number>', 'revision on which the edit is based')
    .option('--remove', 'remove the value at the path')
    .option('--request <identifier>', 'identifier of an edit that is resent')
    .addHelpText('after', setHelpText)
    .action((path: string, value: string | undefined, options: SetOptions) =>
      setValue(path, value, options, context),
    );
  addOperatorOptions(tree.command('history'))
    .description('print the last accepted edits: revision, operator, path, value')
    .option('--last <count>', 'number of edits', '20')
    .action((options: OperatorOptions & { readonly last: string }) =>
      requestAndPrint(
        context,
        options,
        { path: withQuery(OperatorPath.History, { last: options.last }) },
        formatHistory,
      ),
    );
  addOperatorOptions(tree.command('explain'))
    .description('print the value at a path on each level; * marks the one in force')
    .argument('<path>', 'such as workspaces.depot.policy.weight')
    .option('--service <name>', 'for a policy of a workspace: the service to explain it for')
    .action((path: string, options: OperatorOptions & { readonly service?: string }) =>
      requestAndPrint(
        context,
        options,
        { path: withQuery(OperatorPath.Explain, { path, service: options.service }) },
        formatLevels,
      ),
    );
};
