/**
 * Tracks which engines wrote parts of texts without having reported since. An engine may start again
 * under its identifier with other software before its registration here says so; what it writes then
 * must not be joined to text of another version. A part is confirmed by a later report of the same
 * start of its engine, or by the progress of an older run there. If the engine turns out to have
 * started again with other software, the text begins anew. Runs each tick, on the leader's runs.
 */
import type { Brand } from '../../../base/common/brand.js';
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import { EventKind } from '../../events/common/eventKind.js';
import { computeHeartbeatInterval } from '../../membership/common/contacts.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { RunState, type ItemId, type RunRow } from './jobTables.js';
import { requeueRun } from './runChanges.js';
import { startScoring } from './scoring.js';
import { discardText, hasText } from './textContinuation.js';

/** An engine that writes, or wrote, a part of a text, as its registration was at that time. */
export interface TextSourceRow {
  readonly id: Brand<'textSource'>;
  readonly item: ItemId;
  readonly upstream: UpstreamId;
  readonly softwareVersion: string | null;
  /** Start of the engine, as a wall-clock time in milliseconds. */
  readonly startedAt: number;
  /** Sequence number of its last report before the run was sent. */
  readonly sequence: number;
  /** Time at which the run was sent. */
  readonly sentAt: Instant;
  /** Time from which the part counts as confirmed. */
  readonly confirmationDeadline: Instant;
}

export const createTextSourceTables = () => ({
  textSources: createTable<TextSourceRow, 'upstream' | 'item', 'confirmation'>({
    name: 'textSources',
    indices: { upstream: (row) => row.upstream, item: (row) => row.item },
    deadlines: { confirmation: (row) => row.confirmationDeadline },
  }),
});

/**
 * Time within which an engine that runs has reported at this daemon: two intervals of its reports
 * and a late heartbeat that relays them. An engine without a report for so long has ended.
 */
const confirmationMilliseconds: Milliseconds = 3_000;

/** Time beyond one interval of heartbeats in which the daemons relay a report. */
const relaySlackMilliseconds: Milliseconds = 200;

/** Text is under way for less than this time before it is reported as progress. */
const progressDelayMilliseconds: Milliseconds = 400;

const textSourceIdOf = ({ id, start }: RunRow): TextSourceRow['id'] => asBrand(`${id}/${start}`);

/** Records that a run is sent to an engine. */
export const recordTextSource = (
  world: World,
  run: RunRow,
  { id: upstream, softwareVersion, startedAt, sequence }: RegistrationRow,
  now: Instant,
): void => {
  if (!hasText(run))
    world.textSources.where('item', run.id).forEach(({ id }) => world.textSources.remove(id));
  world.textSources.put({
    id: textSourceIdOf(run),
    item: run.id,
    upstream,
    softwareVersion,
    startedAt,
    sequence,
    sentAt: now,
    confirmationDeadline: deadlineAfter(now, confirmationMilliseconds),
  });
};

/** Whether the text of a run was written by one start of an engine, or by confirmed ones. */
const isTextConfirmed = (world: World, run: RunRow): boolean =>
  run.continuedEvents === 0 || world.textSources.count('item', run.id) === 0;

/** States in which a text can still be discarded; a text that is being scored is of one start. */
const canBeginAnewByState: Readonly<Record<RunState, boolean>> = {
  waiting: true,
  running: true,
  confirming: true,
  scoring: false,
  proposed: false,
};

const beginAnew = (world: World, run: RunRow, now: Instant): void => {
  if (!canBeginAnewByState[run.state]) return;
  requeueRun(world, run, { backoffDeadline: now }, now);
  discardText(world, run, 'an engine of it started again with other software');
};

const holdText = (world: World, run: RunRow): void => {
  const engines = world.textSources.where('item', run.id).map(({ upstream }) => upstream);
  world.events.append({
    kind: EventKind.TextHeld,
    subject: { item: run.id, softwareVersion: run.softwareVersion, engines: engines.join(',') },
  });
  world.runs.change(run.id, { state: RunState.Confirming, upstream: null });
};

/** Scores a complete text, at once or as soon as all of its parts are confirmed. */
export const completeText = (world: World, run: RunRow): void => {
  if (isTextConfirmed(world, run)) startScoring(world, run);
  else if (run.state !== RunState.Confirming) holdText(world, run);
};

const confirmSource = (world: World, { id, item }: TextSourceRow): void => {
  world.textSources.remove(id);
  const run = world.runs.get(item);
  if (run?.state === RunState.Confirming) completeText(world, run);
};

/**
 * Confirms the parts that were sent to an engine before a run there, which is confirmed itself, got
 * text: the connection of that run leads to the start that the registration names.
 */
export const confirmByProgress = (world: World, run: RunRow, now: Instant): void => {
  if (run.upstream === null || world.textSources.has(textSourceIdOf(run))) return;
  world.textSources
    .where('upstream', run.upstream)
    .filter(
      ({ startedAt, sentAt }) =>
        startedAt === run.engineStartedAt && sentAt + progressDelayMilliseconds < now,
    )
    .forEach((source) => confirmSource(world, source));
};

/**
 * Whether a report that arrives now was made after a run was sent: before, it may have been under
 * way between control daemons, with the heartbeats.
 */
const isReportedSince = (world: World, { sentAt }: TextSourceRow, now: Instant): boolean =>
  now > sentAt + computeHeartbeatInterval(world) + relaySlackMilliseconds;

/** Compares the part of a text with the latest registration of its engine. */
const checkSource = (
  world: World,
  source: TextSourceRow,
  { startedAt, sequence, softwareVersion }: RegistrationRow,
  now: Instant,
): void => {
  const isSameStart = startedAt === source.startedAt;
  if (isSameStart && (sequence <= source.sequence || !isReportedSince(world, source, now))) return;
  if (isSameStart || softwareVersion === source.softwareVersion) {
    confirmSource(world, source);
    return;
  }
  world.textSources.remove(source.id);
  const run = world.runs.get(source.item);
  if (run !== undefined) beginAnew(world, run, now);
};

const checkEngine = (world: World, id: UpstreamId, now: Instant): void => {
  const registration = world.registrations.get(id);
  if (registration === undefined) return;
  world.textSources
    .where('upstream', id)
    .forEach((source) => checkSource(world, source, registration, now));
};

/** Creates the system that confirms the parts of texts. */
export const createTextSourceSystem = (world: World): System => {
  const registrationChanges = world.registrations.createChangeReader();
  return {
    name: 'textSource',
    run: (now) => {
      registrationChanges.take().forEach((id) => checkEngine(world, id, now));
      world.textSources
        .takeDue('confirmation', now)
        .forEach((source) => confirmSource(world, source));
    },
  };
};
