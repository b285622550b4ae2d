/**
 * Invariants of control: one process at a time orders and reports, and the accepted configuration is in
 * force everywhere and never goes back.
 */
import type { RevisionFact } from '../system/recording.js';
import { InvariantName, violationOf, type Invariant, type Violation } from './invariant.js';
import { changeBoundMilliseconds } from './keys.js';

interface FencedFact {
  readonly at: number;
  readonly process: string;
  readonly fencing: number;
}

/** Facts by which an older leader acted after a newer one, or two acted under one number. */
const overtaken = (facts: readonly FencedFact[]): FencedFact[] => {
  const ordered = [...facts].sort((first, second) => first.at - second.at);
  return ordered.filter((fact, index) =>
    ordered
      .slice(0, index)
      .some(
        (earlier) =>
          earlier.fencing > fact.fencing ||
          (earlier.fencing === fact.fencing && earlier.process !== fact.process),
      ),
  );
};

const twoOrder = violationOf(InvariantName.SingleOrders);

/** After an order of a newer leader the platform gets none of an older one. */
export const checkSingleOrders: Invariant = ({ orders }) =>
  overtaken(orders).map(({ process, fencing }) =>
    twoOrder(`${process} ordered under fencing number ${fencing} beside another`, process),
  );

const twoReport = violationOf(InvariantName.SingleReports);

/** Every report of a window has the same figures, and no older leader reports after a newer one. */
export const checkSingleReports: Invariant = ({ usageReports }) => {
  const differing = usageReports
    .filter((report) =>
      usageReports.some(
        ({ window, figures }) => window === report.window && figures !== report.figures,
      ),
    )
    .map(({ window }) => twoReport(`window ${window} was reported with other figures`, window));
  const late = overtaken(usageReports).map(({ process }) =>
    twoReport(`${process} reported beside another`, process),
  );
  return [...differing, ...late];
};

const notAgreed = violationOf(InvariantName.AgreedConfiguration);

const findReversals = (revisions: readonly RevisionFact[]): Violation[] => {
  const ordered = [...revisions].sort((first, second) => first.at - second.at);
  return ordered.flatMap((fact, index) => {
    const earlier = ordered.slice(0, index);
    const isReversed = earlier.some(
      ({ daemon, revision }) => daemon === fact.daemon && revision > fact.revision,
    );
    const differs = earlier.some(
      ({ revision, digest }) => revision === fact.revision && digest !== fact.digest,
    );
    const message = `${fact.daemon} serves revision ${fact.revision} again or with another tree`;
    return isReversed || differs ? [notAgreed(message, fact.daemon)] : [];
  });
};

/** Revisions only rise, mean one tree, and are in force wherever a daemon could have heard of them. */
export const checkAgreedConfiguration: Invariant = ({ revisions, acceptedEdits, reachable }) => {
  const missing = acceptedEdits.flatMap((edit) => {
    const deadline = edit.at + changeBoundMilliseconds;
    return reachable
      .filter(({ from, until }) => from <= edit.at && until >= deadline)
      .filter(
        ({ daemon }) =>
          !revisions.some(
            (fact) =>
              fact.daemon === daemon && fact.at <= deadline && fact.revision >= edit.revision,
          ),
      )
      .map(({ daemon }) => notAgreed(`${daemon} lacks revision ${edit.revision}`, daemon));
  });
  return [...findReversals(revisions), ...missing];
};
