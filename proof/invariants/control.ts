/**
 * Invariants of control: one process at a time orders and reports, and the accepted configuration is in
 * force everywhere and never goes back.
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

/** Facts by which an older leader acted after a newer one, or two acted under one number. */
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

/** After an order of a newer leader the platform gets none of an older one. */
export const checkSingleOrders: Invariant = ({ orders }) =>
  findFencingViolations(orders).map(({ process, fencing }) =>
    createOrdersViolation(
      `${process} ordered under fencing number ${fencing} beside another`,
      process,
    ),
  );

const createReportsViolation = createViolationFactory(InvariantName.SingleReports);

/** Every report of a window has the same figures, and no older leader reports after a newer one. */
export const checkSingleReports: Invariant = ({ usageReports }) => {
  const conflicting = usageReports
    .filter((report) =>
      usageReports.some(
        ({ window, figures }) => window === report.window && figures !== report.figures,
      ),
    )
    .map(({ window }) =>
      createReportsViolation(`window ${window} was reported with other figures`, window),
    );
  const outdated = findFencingViolations(usageReports).map(({ process }) =>
    createReportsViolation(`${process} reported beside another`, process),
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
    const message = `${served.daemon} serves revision ${served.revision} again or with another tree`;
    return hasHigherRevision || hasDifferentTree
      ? [createConfigurationViolation(message, served.daemon)]
      : [];
  });
};

/** Revisions only rise, mean one tree, and are in force wherever a daemon could have heard of them. */
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
        createConfigurationViolation(`${daemon} lacks revision ${edit.revision}`, daemon),
      );
  });
  return [...findRevisionConflicts(revisions), ...missing];
};
