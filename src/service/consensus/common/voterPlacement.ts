/**
 * Places voters over availability zones, so that a quorum survives the loss of a zone. Decides from
 * the zones of voters and learners only; used where the settings ask to tolerate the loss of zones.
 * Without such a setting, every zone has room for any number of voters.
 */

/** A control daemon and its availability zone; the zone is empty while it is unknown. */
export interface PlacedDaemon {
  readonly id: string;
  readonly zone: string;
}

/**
 * Returns how many voters one zone may hold, so that the loss of the tolerated number of zones
 * leaves a quorum. It is at least 1, because voters must be somewhere.
 */
export const computeZoneLimit = (voterCount: number, toleratedZoneLosses: number): number => {
  if (toleratedZoneLosses === 0) return Number.POSITIVE_INFINITY;
  const toleratedVoterLosses = Math.floor((voterCount - 1) / 2);
  return Math.max(1, Math.floor(toleratedVoterLosses / toleratedZoneLosses));
};

const countInZone = (voters: readonly PlacedDaemon[], zone: string): number =>
  voters.filter((voter) => voter.zone === zone).length;

/** Returns the learner in the zone with the fewest voters; the first one of several. */
export const findBestLearner = <Learner extends PlacedDaemon>(
  voters: readonly PlacedDaemon[],
  learners: readonly Learner[],
  zoneLimit: number,
): Learner | undefined => {
  if (!Number.isFinite(zoneLimit)) return learners[0];
  return learners.reduce<Learner | undefined>(
    (best, learner) =>
      best === undefined || countInZone(voters, learner.zone) < countInZone(voters, best.zone)
        ? learner
        : best,
    undefined,
  );
};

/**
 * Returns the first of these voters that a learner can replace without adding to a zone that is
 * full. A learner in the zone of the voter itself can always replace it.
 */
export const findReplaceableVoter = (
  voters: readonly PlacedDaemon[],
  replaced: readonly PlacedDaemon[],
  learners: readonly PlacedDaemon[],
  zoneLimit: number,
): PlacedDaemon | undefined =>
  replaced.find((voter) =>
    learners.some(({ zone }) => zone === voter.zone || countInZone(voters, zone) < zoneLimit),
  );

/** Returns the voters of the fullest zone that exceeds the limit; empty if there is none. */
const votersOfOverfullZone = (
  voters: readonly PlacedDaemon[],
  zoneLimit: number,
): readonly PlacedDaemon[] => {
  const zones = [...new Set(voters.map(({ zone }) => zone))].filter((zone) => zone !== '');
  return zones
    .map((zone) => voters.filter((voter) => voter.zone === zone))
    .filter(({ length }) => length > zoneLimit)
    .reduce<readonly PlacedDaemon[]>(
      (fullest, inZone) => (inZone.length > fullest.length ? inZone : fullest),
      [],
    );
};

/** Returns a learner whose promotion lets an overfull zone give up a voter. */
export const findSpreadingLearner = <Learner extends PlacedDaemon>(
  voters: readonly PlacedDaemon[],
  learners: readonly Learner[],
  zoneLimit: number,
): Learner | undefined => {
  if (votersOfOverfullZone(voters, zoneLimit).length === 0) return undefined;
  const withRoom = learners.filter(
    ({ zone }) => zone !== '' && countInZone(voters, zone) < zoneLimit,
  );
  return findBestLearner(voters, withRoom, zoneLimit);
};

/**
 * Returns the voter to remove after a learner was promoted in addition to the required voters: one
 * of an overfull zone, or undefined if no zone is overfull. The leader is never returned.
 */
export const findSurplusVoter = (
  voters: readonly PlacedDaemon[],
  leader: string,
  zoneLimit: number,
): PlacedDaemon | undefined =>
  votersOfOverfullZone(voters, zoneLimit).find(({ id }) => id !== leader);
