/**
 * `shallotquay key issue|withdraw|rotate|list`: manages the keys of a running installation. The
 * entry generates a new key and returns it once; only its digest is stored.
 */
import type { Command } from 'commander';
import { OperatorPath } from '../../../service/protocol/common/operatorProtocol.js';
import type { SubcommandContext } from '../../main/node/subcommand.js';
import {
  addOperatorOptions,
  requestAndPrint,
  createRequestIdentifier,
  type OperatorOptions,
} from '../../operator/node/operatorClient.js';

interface IssuedKey {
  readonly key: string;
  readonly digest: string;
  readonly revision: number;
}

interface RotateOptions extends OperatorOptions {
  readonly overlap: string;
}

const millisecondsPerSecond = 1000;

const formatIssuedKey = ({ key, digest, revision }: IssuedKey): string =>
  `key ${key}\ndigest ${digest}\nrevision ${revision}\n` +
  'Save the key now; it is not stored and cannot be shown again.\n';

const formatAcceptedRevision = ({ revision }: { revision: number }): string =>
  `accepted as revision ${revision}\n`;

interface ListedKey {
  readonly workspace: string;
  readonly name: string;
  readonly withdrawn: boolean;
}

const formatKeys = ({ keys }: { keys: readonly ListedKey[] }): string =>
  keys
    .map(({ workspace, name, withdrawn }) => {
      const state = withdrawn ? 'withdrawn' : 'in force';
      return `${workspace} ${name} ${state}\n`;
    })
    .join('');

const createKeyRequest = (workspace: string, name: string) => ({
  request: createRequestIdentifier(),
  workspace,
  name,
});

/** Registers the subcommands for keys of a running installation with `key`. */
export const registerKeyManagementCommands = (key: Command, context: SubcommandContext): void => {
  addOperatorOptions(key.command('issue'))
    .description('create a key for a workspace; it is shown only once')
    .argument('<workspace>')
    .argument('<name>', 'name of the new key')
    .action((workspace: string, name: string, options: OperatorOptions) =>
      requestAndPrint(
        context,
        options,
        { path: OperatorPath.Keys, body: createKeyRequest(workspace, name) },
        formatIssuedKey,
      ),
    );
  addOperatorOptions(key.command('withdraw'))
    .description('withdraw a key; it stops working within seconds')
    .argument('<workspace>')
    .argument('<name>', 'name of the key')
    .action((workspace: string, name: string, options: OperatorOptions) =>
      requestAndPrint(
        context,
        options,
        { path: OperatorPath.KeyWithdrawals, body: createKeyRequest(workspace, name) },
        formatAcceptedRevision,
      ),
    );
  addOperatorOptions(key.command('rotate'))
    .description('create a successor of a key; the old key is withdrawn after the overlap')
    .argument('<workspace>')
    .argument('<name>', 'name of the old key')
    .argument('<successor>', 'name of the new key')
    .option('--overlap <seconds>', 'how long both keys are valid', '86400')
    .action((workspace: string, name: string, successor: string, options: RotateOptions) => {
      const overlapMilliseconds = Math.round(Number(options.overlap) * millisecondsPerSecond);
      const body = { ...createKeyRequest(workspace, name), successor, overlapMilliseconds };
      return requestAndPrint(
        context,
        options,
        { path: OperatorPath.KeyRotations, body },
        formatIssuedKey,
      );
    });
  addOperatorOptions(key.command('list'))
    .description('print each key with its workspace and name, and whether it is in force')
    .action((options: OperatorOptions) =>
      requestAndPrint(context, options, { path: OperatorPath.Keys }, formatKeys),
    );
};
