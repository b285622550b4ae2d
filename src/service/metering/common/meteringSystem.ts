/**
 * Proposes the counts of this daemon for the replicated windows. On the leader, it also freezes
 * each window and schedules its report. The counts of a window are proposed shortly after its end,
 * and the window is frozen later still.
 */
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { MeteringSettings } from '../../../infrastructure/settings/common/fleetSettings.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipOf, canActAsLeader } from '../../consensus/common/lease.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import {
  WindowState,
  usageWindowIdOf,
  type MeteringClockRow,
  type ReportFact,
  type UsageWindowRow,
} from './meteringTables.js';

/** Interval at which the windows are checked. */
const checkIntervalMilliseconds = 500;

/**
 * Delay after the end of a window before its counts are proposed. Requests are counted when their
 * answer arrives, and most of those that started in the window have been answered by then.
 */
const countDelayMilliseconds = 1_000;

/** Share of the time allowed for a report after which the window is frozen. */
const freezeDelayShare = 0.45;

/** Delay before a failed report is resent. */
const retryDelayMilliseconds = 700;

const proposalTimeoutMilliseconds = 20_000;

const clockId: MeteringClockRow['id'] = asBrand('meteringClock');

const proposeOwnCounts = (world: World, settings: MeteringSettings, now: Instant): void => {
  const firstUnfinishedWindow = Math.floor(
    (world.wallNow() - countDelayMilliseconds) / settings.windowMilliseconds,
  );
  [...world.ownCounts.rows()]
    .filter(({ window }) => window < firstUnfinishedWindow)
    .forEach(({ id, window, counts }) => {
      world.ownCounts.remove(id);
      world.proposals.append({
        id: world.identifiers.next('usage'),
        command: { kind: 'usageCounted', window, counts },
        proposalDeadline: deadlineAfter(now, proposalTimeoutMilliseconds),
      });
    });
};

const proposeDueFreezes = (world: World, settings: MeteringSettings, now: Instant): void => {
  const freezeBefore = world.wallNow() - settings.lateMilliseconds * freezeDelayShare;
  const lastDue = Math.floor(freezeBefore / settings.windowMilliseconds) - 1;
  const closedWindows = [...world.usageWindows.rows()].filter(
    ({ state }) => state !== WindowState.Open,
  );
  const lastFrozen = closedWindows.reduce(
    (last, { window }) => Math.max(last, window),
    lastDue - 1,
  );
  for (let window = lastFrozen + 1; window <= lastDue; window += 1) {
    world.proposals.append({
      id: asBrand(`freeze/${window}`),
      command: { kind: 'usageFrozen', window },
      proposalDeadline: deadlineAfter(now, proposalTimeoutMilliseconds),
    });
  }
};

const scheduleReport = (world: World, row: UsageWindowRow, now: Instant): void => {
  const { id, window, counts } = row;
  if (world.usageReports.has(id)) return;
  const { fencing } = leadershipOf(world);
  world.usageReports.put({ id, window, counts, fencing, isInFlight: false, sendDeadline: now });
};

const removeReports = (world: World): void =>
  [...world.usageReports.rows()].forEach(({ id }) => world.usageReports.remove(id));

const checkWindows = (world: World, settings: MeteringSettings, now: Instant): void => {
  proposeOwnCounts(world, settings, now);
  if (!canActAsLeader(world, now)) {
    removeReports(world);
    return;
  }
  proposeDueFreezes(world, settings, now);
  world.usageWindows
    .where('state', WindowState.Frozen)
    .forEach((row) => scheduleReport(world, row, now));
};

const recordReportOutcome = (world: World, window: number, outcome: string): void =>
  world.events.append({
    kind: EventKind.UsageReportEnded,
    subject: {
      window,
      fencing: world.usageReports.get(usageWindowIdOf(window))?.fencing ?? 0,
      outcome,
    },
  });

const reportFactHandlers: HandlerTable<ReportFact, void, [World, Instant]> = {
  accepted: ({ window }, world, now) => {
    recordReportOutcome(world, window, 'accepted');
    world.usageReports.remove(usageWindowIdOf(window));
    world.proposals.append({
      id: asBrand(`reported/${window}`),
      command: { kind: 'usageReported', window },
      proposalDeadline: deadlineAfter(now, proposalTimeoutMilliseconds),
    });
  },
  failed: ({ window, reason }, world, now) => {
    recordReportOutcome(world, window, reason);
    const sendDeadline = deadlineAfter(now, retryDelayMilliseconds);
    world.usageReports.change(usageWindowIdOf(window), { isInFlight: false, sendDeadline });
  },
};

/**
 * Marks the due reports as in flight, with the present fencing token; the port sends them while the
 * lease is valid.
 */
const startDueReports = (world: World, now: Instant): void => {
  const due = world.usageReports.takeDue('send', now);
  if (!canActAsLeader(world, now)) return;
  const { fencing } = leadershipOf(world);
  due.forEach(({ id }) => world.usageReports.change(id, { isInFlight: true, fencing }));
};

/** Creates the metering system, which does nothing without metering settings. */
export const createMeteringSystem = (world: World): System => {
  const { metering } = world.fleet;
  if (metering !== null) {
    world.meteringClock.put({ id: clockId, checkDeadline: 0 });
  }
  return {
    name: 'metering',
    run: (now) => {
      world.reportFacts
        .takeAll()
        .forEach((fact) => dispatchByKind(reportFactHandlers, fact, world, now));
      startDueReports(world, now);
      if (metering === null || world.meteringClock.takeDue('check', now).length === 0) return;
      checkWindows(world, metering, now);
      const checkDeadline = deadlineAfter(now, checkIntervalMilliseconds);
      world.meteringClock.change(clockId, { checkDeadline });
    },
  };
};
