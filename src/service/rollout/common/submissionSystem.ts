/**
 * Opens lots that trainers submit. The prompts are first written to two disks, then the command
 * that opens the lot is proposed to the ledger. A request that a trainer sends twice has the same
 * lot identifier and opens one lot. Runs each tick on the changes of body copies and on expired
 * submissions.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { createRefusal, RefusalKind } from '../../traffic/common/refusal.js';
import type { LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { removeCopies, replicaHoldersOf, hasRequiredCopies, requestCopies } from './bodyCopies.js';
import { proposeOnce } from './ledgerProposals.js';
import { isSameSpecification, promptBodyIdOf, type LotOpened } from './putLot.js';
import { ProposalPurpose, SubmissionState, type SubmissionRow } from './runRows.js';
import { refuseSubmission } from './submissionOutcome.js';

const submissionTimeoutMilliseconds = 10_000;

/**
 * Records a submission and requests copies of its prompts. A lot that is already open completes the
 * submission at once, and one whose specification differs is refused with `LotConflict`.
 */
export const submitLot = (world: World, command: LotOpened, now: Instant): SubmissionRow => {
  const id = asBrand<LotId>(command.lot);
  const pending = world.submissions.get(id);
  if (pending?.command.promptDigest === command.promptDigest) return pending;
  const body = promptBodyIdOf(id, command.promptDigest);
  const row = {
    id,
    command,
    body,
    refusal: null,
    submissionDeadline: deadlineAfter(now, submissionTimeoutMilliseconds),
  };
  const existing = world.lots.get(id);
  if (existing === undefined) {
    requestCopies(world, body, id, now);
    return world.submissions.put({ ...row, state: SubmissionState.Storing });
  }
  if (isSameSpecification(existing, command)) {
    return world.submissions.put({ ...row, state: SubmissionState.Opened });
  }
  const refusal = createRefusal(RefusalKind.LotConflict, true);
  return { ...row, state: SubmissionState.Refused, refusal };
};

const proposeLotIfStored = (world: World, row: SubmissionRow, now: Instant): void => {
  if (row.state !== SubmissionState.Storing || !hasRequiredCopies(world, row.body)) return;
  const command = { ...row.command, holders: [...replicaHoldersOf(world, row.body)] };
  world.submissions.change(row.id, { state: SubmissionState.Proposed });
  removeCopies(world, row.body);
  proposeOnce(world, row.id, ProposalPurpose.Open, command, now);
};

/** Creates the system that opens submitted lots. */
export const createSubmissionSystem = (world: World): System => {
  const bodyCopyChanges = world.bodyCopies.createChangeReader();
  return {
    name: 'submission',
    run: (now) => {
      const lots = bodyCopyChanges.take().flatMap((id) => world.bodyCopies.get(id)?.lot ?? []);
      new Set(lots).forEach((lot) => {
        const row = world.submissions.get(lot);
        if (row !== undefined) proposeLotIfStored(world, row, now);
      });
      world.submissions
        .takeDue('submission', now)
        .forEach((row) => refuseSubmission(world, row.id, RefusalKind.LedgerUnavailable));
    },
  };
};
