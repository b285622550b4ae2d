/**
 * Appoints the runners of jobs with home regions; acts only on the leader. A job gets a runner as
 * soon as it is accepted, and another one when its runner is lost, is leaving or no longer holds
 * the job. Also watches until when this daemon itself is current as a runner.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipOf } from '../../consensus/common/lease.js';
import { replicaOf } from '../../consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../consensus/common/replicaTables.js';
import { isRetiring } from '../../consensus/common/retirement.js';
import { EventKind } from '../../events/common/eventKind.js';
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { homesOfJob } from './jobHomes.js';
import { openHomeJobsOf, watchRunnerCurrency } from './jobRunner.js';
import type { JobRow } from './jobTables.js';
import { chooseRunner, computeReplacementTime, type RunnerCandidate } from './runnerChoice.js';

/** An appointment that is not committed within this time is decided on and proposed again. */
const proposalTimeoutMilliseconds = 1_500;

const isSuitable = (world: World, job: JobRow, name: string): boolean => {
  const daemon = world.daemons.get(asBrand<DaemonId>(name));
  return (
    job.holders.includes(name) &&
    daemon?.isControl === true &&
    (homesOfJob(world, job) ?? job.homeRegions).includes(daemon.region) &&
    !isRetiring(world, daemon.id)
  );
};

const candidatesOf = (world: World, job: JobRow): RunnerCandidate[] =>
  job.holders
    .filter((name) => isSuitable(world, job, name))
    .filter((name) => world.daemons.get(asBrand<DaemonId>(name))?.state === DaemonState.Alive)
    .map((id) => ({
      id,
      isLeader: id === world.self.name,
      jobs: openHomeJobsOf(world).filter(({ runner }) => runner === id).length,
    }));

/**
 * Returns the latest time at which a runner can have sent what confirms its log state: its answer to
 * the last renewal that it answered as a voter, or a request to a relay up to one interval after its
 * last heartbeat. The suspicion deadline follows a heartbeat by at least the suspicion time.
 */
const confirmedUntilOf = (world: World, runner: DaemonRow): Instant => {
  const { heartbeatMilliseconds, suspicionMilliseconds } = world.deployment.timing;
  const lastHeartbeatAt = runner.suspicionDeadline - suspicionMilliseconds;
  const renewedAt = world.members.get(runner.id)?.renewedAt ?? Number.NEGATIVE_INFINITY;
  return Math.max(lastHeartbeatAt + heartbeatMilliseconds, renewedAt);
};

const replacementTimeOf = (world: World, job: JobRow, ledSince: Instant): Instant => {
  if (job.runner === null) return ledSince;
  const daemon = world.daemons.get(asBrand<DaemonId>(job.runner));
  return computeReplacementTime({
    daemon,
    isSuitable: isSuitable(world, job, job.runner),
    ledSince,
    confirmedUntil: daemon === undefined ? ledSince : confirmedUntilOf(world, daemon),
  });
};

const proposeRunner = (world: World, job: JobRow, runner: string, now: Instant): void => {
  const checkDeadline = deadlineAfter(now, proposalTimeoutMilliseconds);
  world.proposals.append({
    id: world.identifiers.next('runner'),
    command: { kind: 'runnerSet', job: job.id, runner },
    proposalDeadline: checkDeadline,
  });
  world.runnerChecks.put({ id: job.id, isProposed: true, checkDeadline });
  world.events.append({
    kind: EventKind.RunnerAppointed,
    subject: { job: job.id, runner, previous: job.runner },
  });
};

const checkRunner = (world: World, job: JobRow, ledSince: Instant, now: Instant): void => {
  const replacementTime = replacementTimeOf(world, job, ledSince);
  if (replacementTime > now) {
    if (replacementTime === never) world.runnerChecks.remove(job.id);
    else world.runnerChecks.put({ id: job.id, isProposed: false, checkDeadline: replacementTime });
    return;
  }
  const check = world.runnerChecks.get(job.id);
  if (check?.isProposed === true && check.checkDeadline > now) return;
  const runner = chooseRunner(candidatesOf(world, job).filter(({ id }) => id !== job.runner));
  // Without a candidate, the next change of a daemon or a job leads here again.
  if (runner === undefined) world.runnerChecks.remove(job.id);
  else proposeRunner(world, job, runner, now);
};

const removeChecks = (world: World): void =>
  [...world.runnerChecks.rows()].forEach(({ id }) => world.runnerChecks.remove(id));

/** Creates the system that appoints runners. */
export const createRunnerSystem = (world: World): System => {
  const changeReaders = [world.jobs.createChangeReader(), world.daemons.createChangeReader()];
  let ledTerm = 0;
  let ledSince: Instant = never;

  const appointRunners = (hasChanges: boolean, now: Instant): void => {
    const { term } = leadershipOf(world);
    const isNewTerm = term !== ledTerm;
    if (isNewTerm) ledSince = now;
    ledTerm = term;
    if (hasChanges || isNewTerm)
      openHomeJobsOf(world).forEach((job) => checkRunner(world, job, ledSince, now));
  };

  return {
    name: 'runner',
    run: (now) => {
      const hasChanged = changeReaders.map((reader) => reader.take().length > 0).includes(true);
      const hasDueChecks = world.runnerChecks.takeDue('check', now).length > 0;
      world.runnerCurrency.takeDue('currency', now);
      watchRunnerCurrency(world, now);
      if (isCurrentLeader(replicaOf(world), now)) {
        appointRunners(hasChanged || hasDueChecks, now);
        return;
      }
      ledTerm = 0;
      removeChecks(world);
    },
  };
};
