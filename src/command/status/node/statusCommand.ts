/**
 * `shallotquay status`: prints the leader, the revision in force, and each degradation with its
 * remedy.
 */
import type { Status } from '../../../service/configuration/common/status.js';
import { OperatorPath } from '../../../service/protocol/common/operatorProtocol.js';
import type { RegisterSubcommand } from '../../main/node/subcommand.js';
import { formatMember } from '../../member/node/memberCommand.js';
import {
  addOperatorOptions,
  requestAndPrint,
  type OperatorOptions,
} from '../../operator/node/operatorClient.js';

const formatStatus = (status: Status): string =>
  [
    `responding daemon ${status.askedDaemon}\n`,
    `leader ${status.leader ?? 'unknown'} in term ${status.term}\n`,
    `revision ${status.revision}, ${status.isFresh ? 'fresh' : 'stale'}\n`,
    ...status.members.map((member) => `  ${formatMember(member)}`),
    ...(status.degraded.length === 0 ? ['no degraded components\n'] : []),
    ...status.degraded.map((fault) => `degraded: ${fault}\n`),
  ].join('');

/** Registers `status` with the program. */
export const registerStatusCommand: RegisterSubcommand = (program, context) => {
  addOperatorOptions(program.command('status'))
    .description('print the leader, the revision of each daemon, and all degradations')
    .action((options: OperatorOptions) =>
      requestAndPrint(context, options, { path: OperatorPath.Status }, formatStatus),
    );
};
