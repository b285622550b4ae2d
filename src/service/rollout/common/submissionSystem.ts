/**
 * Opens lots: the prompts go to two disks first, then the ledger is asked. A request that was sent twice
 * has the same lot identifier and opens one lot.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { createRefusal, RefusalKind } from '../../traffic/common/refusal.js';
import type { LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { forgetCopies, holdersOf, isStored, wantCopies } from './bodyCopies.js';
import { proposeOnce } from './ledgerProposals.js';
import { isSameWish, promptBodyOf, type LotOpened } from './putLot.js';
import { ProposalPurpose, SubmissionState, type SubmissionRow } from './runRows.js';
import { refuseSubmission } from './submissionOutcome.js';

const submissionMilliseconds = 10_000;

/** Puts the row of a submission; a lot that is open already is answered at once. */
export const submitLot = (world: World, command: LotOpened, now: Instant): SubmissionRow => {
  const id = asBrand<LotId>(command.lot);
  const pending = world.submissions.get(id);
  if (pending?.command.promptDigest === command.promptDigest) return pending;
  const body = promptBodyOf(id, command.promptDigest);
  const row = {
    id,
    command,
    body,
    refusal: null,
    submissionDeadline: deadlineAfter(now, submissionMilliseconds),
  };
  const existing = world.lots.get(id);
  if (existing === undefined) {
    wantCopies(world, body, id, now);
    return world.submissions.put({ ...row, state: SubmissionState.Storing });
  }
  if (isSameWish(existing, command)) {
    return world.submissions.put({ ...row, state: SubmissionState.Opened });
  }
  const refusal = createRefusal(RefusalKind.LotConflict, true);
  return { ...row, state: SubmissionState.Refused, refusal };
};

const proposeStored = (world: World, row: SubmissionRow, now: Instant): void => {
  if (row.state !== SubmissionState.Storing || !isStored(world, row.body)) return;
  const command = { ...row.command, holders: [...holdersOf(world, row.body)] };
  world.submissions.change(row.id, { state: SubmissionState.Proposed });
  forgetCopies(world, row.body);
  proposeOnce(world, row.id, ProposalPurpose.Open, command, now);
};

/** Creates the system of submissions. */
export const createSubmissionSystem = (world: World): System => {
  const copyChanges = world.bodyCopies.createChangeReader();
  return {
    name: 'submission',
    run: (now) => {
      const lots = copyChanges.take().flatMap((id) => world.bodyCopies.get(id)?.lot ?? []);
      new Set(lots).forEach((lot) => {
        const row = world.submissions.get(lot);
        if (row !== undefined) proposeStored(world, row, now);
      });
      world.submissions
        .takeDue('submission', now)
        .forEach((row) => refuseSubmission(world, row.id, RefusalKind.LedgerUnavailable));
    },
  };
};
