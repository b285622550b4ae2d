/**
 * Replaces the holders of jobs with home regions, on the leader: those that were lost for some time,
 * and those outside the home regions that the declaration in force allows.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { canActAsLeader } from '../../consensus/common/lease.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import {
  chooseHolders,
  computeHolderRequirement,
  countZones,
  isPossibleHolder,
} from './holderChoice.js';
import { hasHeldContents } from './jobContents.js';
import { homesOfJob } from './jobHomes.js';
import type { JobRow } from './jobTables.js';

/** The time at which the leader compares the holders of all jobs with the daemons that run. */
export interface HolderCheckRow {
  readonly id: Brand<'holderCheck'>;
  readonly checkDeadline: Instant;
}

const holderCheckId: HolderCheckRow['id'] = asBrand('holderCheck');

export const createHolderCheckTables = () => ({
  holderChecks: createTable<HolderCheckRow, never, 'check'>({
    name: 'holderChecks',
    indices: {},
    deadlines: { check: (row) => row.checkDeadline },
  }),
});

/** Interval of the checks: a change of home regions must take effect within 3 s. */
const checkMilliseconds: Milliseconds = 1_000;

/** Time without a sign of life after which a holder is replaced. */
const lossMilliseconds: Milliseconds = 5_000;

/** A replacement that is not committed within this time is proposed again by the next check. */
const proposalTimeoutMilliseconds: Milliseconds = 3_000;

const isLost = (world: World, { isSelf, suspicionDeadline }: DaemonRow, now: Instant): boolean => {
  const heardAt = suspicionDeadline - world.deployment.timing.suspicionMilliseconds;
  return !isSelf && now >= heardAt + lossMilliseconds;
};

/**
 * Returns the holders that a job is to have. A lost holder stays if there is no other daemon for it,
 * because its disk may return; one outside the home regions does not, unless no holder would remain.
 */
export const computeHolders = (world: World, job: JobRow, now: Instant): readonly string[] => {
  const homes = homesOfJob(world, job) ?? job.homeRegions;
  const isHolder = ({ id }: DaemonRow): boolean => job.holders.includes(id);
  // The region of a daemon is not known before its first heartbeat.
  const daemons = [...world.daemons.rows()].filter(
    (row) => isPossibleHolder(row, homes) || (row.region === '' && isHolder(row)),
  );
  const running = daemons.filter((row) => !isLost(world, row, now));
  const requirement = computeHolderRequirement(world.fleet, running);
  const { holders: needed } = requirement;
  const kept = running.filter(isHolder);
  const addTo = (rows: readonly DaemonRow[]): readonly DaemonRow[] => {
    const others = running.filter((row) => !rows.includes(row));
    return [...rows, ...chooseHolders(job.id, others, rows, needed - rows.length)];
  };
  const extended = addTo(kept);
  // After a zone has returned, one holder moves there.
  const isSpread = countZones(extended) >= Math.min(requirement.zones, needed);
  // The runner has the texts that are not complete yet.
  const moved = kept.find(({ id }) => id !== job.runner);
  const found = isSpread ? extended : addTo(kept.filter((row) => row !== moved));
  const lost = daemons.filter((row) => isHolder(row) && isLost(world, row, now));
  const holders = [...found, ...lost.slice(0, Math.max(0, needed - found.length))];
  return holders.length === 0 ? job.holders : holders.map(({ id }) => id);
};

const checkJob = (world: World, job: JobRow, now: Instant): void => {
  const holders = computeHolders(world, job, now);
  const isSame =
    holders.length === job.holders.length && holders.every((name) => job.holders.includes(name));
  if (isSame) return;
  world.metrics.count('contents.holdersReplaced');
  world.events.append({
    kind: EventKind.HoldersReplaced,
    subject: { job: job.id, former: job.holders.join(','), holders: holders.join(',') },
  });
  world.proposals.append({
    id: world.identifiers.next('holders'),
    command: { kind: 'holdersSet', job: job.id, holders },
    proposalDeadline: deadlineAfter(now, proposalTimeoutMilliseconds),
  });
};

/** Creates the system that replaces holders. */
export const createContentHolderSystem = (world: World): System => {
  const jobChanges = world.jobs.createChangeReader();
  return {
    name: 'contentHolder',
    run: (now) => {
      const isNewJobWithHolders = jobChanges
        .take()
        .some((id) => hasHeldContents(world.jobs.get(id) ?? { homeRegions: [] }));
      const isDue = world.holderChecks.takeDue('check', now).length > 0;
      if (isNewJobWithHolders && !world.holderChecks.has(holderCheckId))
        world.holderChecks.put({
          id: holderCheckId,
          checkDeadline: deadlineAfter(now, checkMilliseconds),
        });
      if (!isDue) return;
      const jobs = [...world.jobs.rows()].filter(hasHeldContents);
      if (jobs.length === 0) {
        world.holderChecks.remove(holderCheckId);
        return;
      }
      const checkDeadline = deadlineAfter(now, checkMilliseconds);
      world.holderChecks.change(holderCheckId, { checkDeadline });
      if (canActAsLeader(world, now)) jobs.forEach((job) => checkJob(world, job, now));
    },
  };
};
