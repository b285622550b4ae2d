/**
 * Invariants of the control plane: only the current leader sends orders and usage reports, and every
 * accepted configuration revision reaches all reachable daemons and never decreases.
 */
import type { ServedRevision } from '../system/recording.js';
import {
  InvariantName,
  createViolationFactory,
  type Invariant,
  type Violation,
} from './invariant.js';
import { maximumPropagationMilliseconds } from './keys.js';

interface FencedAction {
  readonly at: number;
  readonly process: string;
  readonly fencing: number;
}

/**
 * Returns the actions that violate fencing: those that follow an action with a higher fencing token, or
 * an action of another process with the same token.
 */
const findFencingViolations = (actions: readonly FencedAction[]): FencedAction[] => {
  const ordered = [...actions].sort((first, second) => first.at - second.at);
  return ordered.filter((action, index) =>
    ordered
      .slice(0, index)
      .some(
        (earlier) =>
          earlier.fencing > action.fencing ||
          (earlier.fencing === action.fencing && earlier.process !== action.process),
      ),
  );
};

const createOrdersViolation = createViolationFactory(InvariantName.SingleOrders);

/** The platform receives no order of an older leader after an order of a newer one. */
export const checkSingleOrders: Invariant = ({ orders }) =>
  findFencingViolations(orders).map(({ process, fencing }) =>
    createOrdersViolation(
      `${process} sent an order under the stale or shared fencing token ${fencing}`,
      process,
    ),
  );

const createReportsViolation = createViolationFactory(InvariantName.SingleReports);

/** All reports of one usage window are equal, and no older leader reports after a newer one. */
export const checkSingleReports: Invariant = ({ usageReports }) => {
  const conflicting = usageReports
    .filter((report) =>
      usageReports.some(
        ({ window, figures }) => window === report.window && figures !== report.figures,
      ),
    )
    .map(({ window }) =>
      createReportsViolation(`usage window ${window} was reported with different figures`, window),
    );
  const outdated = findFencingViolations(usageReports).map(({ process }) =>
    createReportsViolation(
      `${process} sent a usage report under a stale or shared fencing token`,
      process,
    ),
  );
  return [...conflicting, ...outdated];
};

const createConfigurationViolation = createViolationFactory(InvariantName.AgreedConfiguration);

const findRevisionConflicts = (revisions: readonly ServedRevision[]): Violation[] => {
  const ordered = [...revisions].sort((first, second) => first.at - second.at);
  return ordered.flatMap((served, index) => {
    const earlier = ordered.slice(0, index);
    const hasHigherRevision = earlier.some(
      ({ daemon, revision }) => daemon === served.daemon && revision > served.revision,
    );
    const hasDifferentTree = earlier.some(
      ({ revision, digest }) => revision === served.revision && digest !== served.digest,
    );
    const message = `${served.daemon} serves revision ${served.revision} after a higher one or with another tree`;
    return hasHigherRevision || hasDifferentTree
      ? [createConfigurationViolation(message, served.daemon)]
      : [];
  });
};

/**
 * The revision that a daemon serves never decreases, and every revision identifies exactly one tree. A
 * daemon that stays reachable for the propagation bound after an edit serves the revision of the edit.
 */
export const checkAgreedConfiguration: Invariant = ({
  revisions,
  acceptedEdits,
  reachableIntervals,
}) => {
  const missing = acceptedEdits.flatMap((edit) => {
    const deadline = edit.at + maximumPropagationMilliseconds;
    return reachableIntervals
      .filter(({ from, until }) => from <= edit.at && until >= deadline)
      .filter(
        ({ daemon }) =>
          !revisions.some(
            (served) =>
              served.daemon === daemon && served.at <= deadline && served.revision >= edit.revision,
          ),
      )
      .map(({ daemon }) =>
        createConfigurationViolation(
          `${daemon} does not serve revision ${edit.revision} in time`,
          daemon,
        ),
      );
  });
  return [...findRevisionConflicts(revisions), ...missing];
};
