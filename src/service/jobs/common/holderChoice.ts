/**
 * Chooses the daemons that store the contents of a job with home regions: control daemons in these
 * regions, in as many availability zones as there are. The order of equal candidates depends only on
 * the job, so that jobs are spread over the daemons.
 */
import { hashText, mixBits } from '../../../base/common/hash.js';
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';
import type { FleetSettings } from '../../../infrastructure/settings/common/fleetSettings.js';

/** The columns of a daemon by which it is chosen. */
export type HolderCandidate = Pick<
  DaemonRow,
  'id' | 'zone' | 'region' | 'isControl' | 'isSelf' | 'state'
>;

/** How many holders a job needs, and in how many availability zones. */
export interface HolderRequirement {
  readonly holders: number;
  readonly zones: number;
}

/** Voters that an installation has for each tolerated loss of a disk, beside the first. */
const votersPerTolerance = 2;

/** A daemon that was never heard of may be alive; one that is suspected or leaving is not chosen. */
const rankByState: Readonly<Record<DaemonState, number | null>> = {
  alive: 0,
  unknown: 1,
  suspected: null,
  leaving: null,
};

/** Whether a daemon may store contents of these regions at all. */
export const isPossibleHolder = (
  { isControl, region }: HolderCandidate,
  homes: readonly string[],
): boolean => isControl && homes.includes(region);

/** Whether a daemon counts as running. */
export const isResponsive = ({ state }: Pick<HolderCandidate, 'state'>): boolean =>
  rankByState[state] !== null;

/** Returns the number of availability zones of daemons. */
export const countZones = (daemons: readonly Pick<HolderCandidate, 'zone'>[]): number =>
  new Set(daemons.map(({ zone }) => zone)).size;

/**
 * Returns what contents need to survive the losses that the settings name. A zone without a running
 * daemon is one of the losses.
 */
export const computeHolderRequirement = (
  { voterCount, places }: Pick<FleetSettings, 'voterCount' | 'places'>,
  possibleHolders: readonly HolderCandidate[],
): HolderRequirement => ({
  holders: Math.floor(voterCount / votersPerTolerance) + 1,
  zones: Math.min(places.toleratedZoneLosses + 1, countZones(possibleHolders.filter(isResponsive))),
});

/** Chooses up to `count` daemons in addition to those that are kept; fewer if there are no more. */
export const chooseHolders = <Candidate extends HolderCandidate>(
  job: string,
  candidates: readonly Candidate[],
  kept: readonly Pick<HolderCandidate, 'zone'>[],
  count: number,
): readonly Candidate[] => {
  const usable = candidates
    .filter(isResponsive)
    .map((candidate) => ({
      candidate,
      stateRank: rankByState[candidate.state]!,
      spread: mixBits(hashText(`${job}/${candidate.id}`)),
    }))
    .sort((first, second) => first.stateRank - second.stateRank || first.spread - second.spread)
    .map(({ candidate }) => candidate);
  const chosen: Candidate[] = [];
  const usesOfZone = (zone: string): number =>
    [...kept, ...chosen].filter((row) => row.zone === zone).length;
  while (chosen.length < count) {
    const next = usable
      .filter((candidate) => !chosen.includes(candidate))
      .reduce<Candidate | undefined>(
        (best, candidate) =>
          best === undefined || usesOfZone(candidate.zone) < usesOfZone(best.zone)
            ? candidate
            : best,
        undefined,
      );
    if (next === undefined) break;
    chosen.push(next);
  }
  return chosen;
};

/** Whether holders are enough, in enough availability zones. */
export const areEnoughHolders = (
  holders: readonly Pick<HolderCandidate, 'zone'>[],
  requirement: HolderRequirement,
): boolean =>
  holders.length >= requirement.holders &&
  countZones(holders) >= Math.min(requirement.zones, requirement.holders);
