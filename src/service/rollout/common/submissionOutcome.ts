/**
 * Updates submissions when the outcome of their proposals is known.
 */
import type { Rejection } from '../../consensus/common/consensusTables.js';
import { createRefusal, RefusalKind } from '../../traffic/common/refusal.js';
import type { LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { ProposalPurpose, SubmissionState, type LedgerProposalRow } from './runRows.js';

/**
 * Refuses a submission. The refusal is final unless the ledger did not answer, because the ledger
 * may still open the lot in that case.
 */
export const refuseSubmission = (world: World, id: LotId, kind: RefusalKind): void => {
  const refusal = createRefusal(kind, kind !== RefusalKind.LedgerUnavailable);
  world.submissions.change(id, { state: SubmissionState.Refused, refusal });
};

/** Marks the submission as opened when the proposal that opens its lot has been applied. */
export const completeSubmission = (world: World, { purpose, lot }: LedgerProposalRow): void => {
  if (purpose !== ProposalPurpose.Open) return;
  world.submissions.change(lot, { state: SubmissionState.Opened });
};

/** Refuses the submission when the proposal that opens its lot has been rejected. */
export const refuseRejectedSubmission = (
  world: World,
  { purpose, lot }: LedgerProposalRow,
  rejection: Rejection,
): void => {
  if (purpose !== ProposalPurpose.Open) return;
  const isConflict = rejection.kind === RefusalKind.LotConflict;
  const kind = isConflict ? RefusalKind.LotConflict : RefusalKind.LedgerUnavailable;
  refuseSubmission(world, lot, kind);
};
