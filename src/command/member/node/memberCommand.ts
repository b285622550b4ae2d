/**
 * `shallotquay member list`: prints the daemons of an installation, as seen by one entry.
 */
import type { MemberStatus } from '../../../service/configuration/common/status.js';
import { OperatorPath } from '../../../service/protocol/common/operatorProtocol.js';
import type { RegisterSubcommand } from '../../main/node/subcommand.js';
import {
  addOperatorOptions,
  requestAndPrint,
  type OperatorOptions,
} from '../../operator/node/operatorClient.js';

/** Formats a daemon as one line of text. */
export const formatMember = (member: MemberStatus): string =>
  `${member.daemon} ${member.zone} ${member.state} revision ${member.revision} ` +
  `${member.isFresh ? 'fresh' : 'stale'} load ${member.load}\n`;

/** Registers `member` with its subcommand `list`. */
export const registerMemberCommand: RegisterSubcommand = (program, context) => {
  const member = program.command('member').description('inspect the daemons of the installation');
  addOperatorOptions(member.command('list'))
    .description('print each daemon with its zone, state, revision and load')
    .action((options: OperatorOptions) =>
      requestAndPrint(
        context,
        options,
        { path: OperatorPath.Members },
        ({ members }: { members: readonly MemberStatus[] }) => members.map(formatMember).join(''),
      ),
    );
};
