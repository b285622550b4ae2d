/**
 * Decides where the text of a run goes on. What two software versions write does not fit together,
 * and engines do not check it, so a text goes on only at an engine of the software version that
 * began it. Nothing of a text is delivered before it is complete; a text that cannot go on is
 * discarded, and its run begins anew at any engine.
 */
import {
  deadlineAfter,
  never,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import { isOverdue } from '../../registry/common/registrySystem.js';
import { isPlaceAllowed } from '../../places/common/eligibility.js';
import type { Homes } from '../../places/common/homes.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import type { JobRow, RunRow } from './jobTables.js';
import { emptyTextColumns } from './runChanges.js';

/**
 * Time for which a run waits for an engine of its software version while another engine is free:
 * less than the avoidance of an engine on which a run broke, and a small part of a step.
 */
const continuationMilliseconds: Milliseconds = 1_000;

/** Whether a run has a text that has to go on at the software version that began it. */
export const hasText = ({ events }: RunRow): boolean => events > 0;

/** Whether the text of a run can go on at an engine; a run without text can begin at any. */
export const canContinueText = (run: RunRow, { softwareVersion }: RegistrationRow): boolean =>
  !hasText(run) || (run.softwareVersion !== null && run.softwareVersion === softwareVersion);

/**
 * Whether an engine of the service, at a place that is allowed for the run, reports in time that it
 * could go on with its text.
 */
export const isTextServed = (
  world: World,
  service: string,
  run: RunRow,
  job: JobRow,
  homes: Homes,
  now: Instant,
): boolean =>
  world.registrations
    .where('service', service)
    .some(
      (row) =>
        isPlaceAllowed(world, row, homes) &&
        canContinueText(run, row) &&
        !isOverdue(row, now) &&
        row.models.some(({ name }) => name === job.model),
    );

/** Returns until when a run waits for its software version, beginning now unless it waits already. */
export const continuationDeadlineOf = (run: RunRow, now: Instant): Instant =>
  hasText(run)
    ? Math.min(run.continuationDeadline, deadlineAfter(now, continuationMilliseconds))
    : never;

/** Discards the text of a run, which then begins anew. */
export const discardText = (world: World, run: RunRow, reason: string): RunRow => {
  world.events.append({
    kind: EventKind.TextDiscarded,
    subject: { item: run.id, softwareVersion: run.softwareVersion, reason, events: run.events },
  });
  world.metrics.count('runs.textsDiscarded');
  return world.runs.change(run.id, { ...emptyTextColumns, continuationDeadline: never })!;
};

/** Discards the texts of runs that have waited long enough for their software version. */
export const discardOverdueTexts = (world: World, now: Instant): boolean => {
  const runs = world.runs.takeDue('continuation', now);
  runs.forEach((run) => discardText(world, run, 'no slot at its software version in time'));
  return runs.length > 0;
};
