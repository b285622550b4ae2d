/**
 * Simulated operators on virtual time, which send edits of the settings to daemons and record the answers.
 * They also record the accepted edits, withdrawals and served revisions that the invariants check.
 */
import { createHash } from 'node:crypto';
import { asBrand } from '../../src/base/common/brand.js';
import { deadlineAfter, type Milliseconds } from '../../src/base/common/time.js';
import { RowReader } from '../../src/infrastructure/tables/common/rowReader.js';
import type { EditCommand } from '../../src/service/configuration/common/configurationCommands.js';
import { servedId } from '../../src/service/configuration/common/servedTables.js';
import type { ProposalId } from '../../src/service/consensus/common/consensusTables.js';
import type { KeyDigest } from '../../src/service/world/common/identifiers.js';
import type { VirtualContext, VirtualPort } from '../../standins/virtual/virtualInstallation.js';
import type { AcceptedEdit, ServedRevision, Withdrawal } from './recording.js';

/** One send of an edit, and its answer. */
export interface SentEdit {
  readonly daemon: string;
  readonly command: EditCommand;
  readonly proposal: ProposalId;
  /** Digest of the key that the edit withdraws, or null. */
  readonly digest: KeyDigest | null;
  /** `accepted`, the kind of the rejection, or null until the answer arrives. */
  answer: string | null;
  revision: number | null;
}

/** The operators of one installation. */
export interface Operators {
  /** Creates the operator port of one daemon process. */
  readonly createPort: (context: VirtualContext) => VirtualPort;
  readonly send: (daemon: string, command: EditCommand, digest?: KeyDigest) => SentEdit;
  readonly sent: () => readonly SentEdit[];
  readonly acceptedEdits: () => readonly AcceptedEdit[];
  readonly withdrawals: () => readonly Withdrawal[];
  readonly revisions: () => readonly ServedRevision[];
}

const proposalTimeoutMilliseconds: Milliseconds = 5_000;

const computeTreeDigest = (tree: unknown): string =>
  createHash('sha256').update(JSON.stringify(tree)).digest('hex');

/** Creates operators whose messages reach every daemon after `latency` milliseconds. */
export const createOperators = (latency: Milliseconds): Operators => {
  const contextByDaemon = new Map<string, VirtualContext>();
  const sent: SentEdit[] = [];
  const acceptedEdits: AcceptedEdit[] = [];
  const withdrawals: Withdrawal[] = [];
  const revisions: ServedRevision[] = [];

  const recordAcceptance = (edit: SentEdit, revision: number, at: number): void => {
    Object.assign(edit, { answer: 'accepted', revision });
    acceptedEdits.push({ at, revision });
    if (edit.digest !== null) withdrawals.push({ digest: edit.digest, at });
  };

  const recordAnswer = (edit: SentEdit, { daemon, now }: VirtualContext): void => {
    const { world } = daemon.core;
    const outcome = world.proposalOutcomes.get(edit.proposal)?.outcome;
    if (outcome === undefined) return;
    if (outcome.kind === 'applied') {
      const answer = world.rememberedAnswers.get(asBrand(edit.command.request));
      recordAcceptance(edit, answer?.revision ?? 0, now());
    } else {
      const rejection = outcome.kind === 'rejected' ? outcome.rejection.kind : outcome.kind;
      Object.assign(edit, { answer: rejection });
    }
  };

  const recordServedRevision = ({ daemon, now }: VirtualContext): void => {
    const served = daemon.core.world.served.get(servedId);
    if (served?.isAgreed !== true) return;
    const { revision, tree } = served;
    const digest = computeTreeDigest(tree);
    revisions.push({ at: now(), daemon: daemon.name, revision, digest });
  };

  return {
    createPort: (context) => {
      contextByDaemon.set(context.daemon.name, context);
      const servedChanges = context.daemon.core.world.served.createChangeReader(RowReader.Port);
      return {
        drain: () => {
          if (servedChanges.take().length > 0) recordServedRevision(context);
          sent
            .filter(({ daemon, answer }) => daemon === context.daemon.name && answer === null)
            .forEach((edit) => recordAnswer(edit, context));
        },
      };
    },
    send: (daemon, command, digest) => {
      const proposal = asBrand<ProposalId>(`edit-${sent.length}`);
      const edit: SentEdit = {
        daemon,
        command,
        proposal,
        digest: digest ?? null,
        answer: null,
        revision: null,
      };
      sent.push(edit);
      const context = contextByDaemon.get(daemon);
      context?.schedule(latency, () =>
        context.daemon.core.world.proposals.append({
          id: proposal,
          command,
          proposalDeadline: deadlineAfter(context.now(), proposalTimeoutMilliseconds),
        }),
      );
      return edit;
    },
    sent: () => sent,
    acceptedEdits: () => acceptedEdits,
    withdrawals: () => withdrawals,
    revisions: () => revisions,
  };
};
