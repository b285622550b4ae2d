/**
 * Folds what this daemon counted into the agreed windows, and as leader freezes each window and sees to
 * its report. A window is folded a little after its end, and frozen later still.
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

/** How often the windows are looked at. */
const checkMilliseconds = 500;

/** Requests that began in a window are counted when their answer comes; most have by then. */
const foldMilliseconds = 1_000;

/** Share of the time allowed for a report after which the counts are frozen. */
const freezeShare = 0.45;

/** How long after a failure a report is sent again. */
const resendMilliseconds = 700;

const proposalMilliseconds = 20_000;

const clockId: MeteringClockRow['id'] = asBrand('meteringClock');

const foldOwn = (world: World, settings: MeteringSettings, now: Instant): void => {
  const ended = Math.floor((world.wallNow() - foldMilliseconds) / settings.windowMilliseconds);
  [...world.ownCounts.rows()]
    .filter(({ window }) => window < ended)
    .forEach(({ id, window, counts }) => {
      world.ownCounts.remove(id);
      world.proposals.append({
        id: world.identifiers.next('usage'),
        command: { kind: 'usageCounted', window, counts },
        proposalDeadline: deadlineAfter(now, proposalMilliseconds),
      });
    });
};

const freezeDue = (world: World, settings: MeteringSettings, now: Instant): void => {
  const due = world.wallNow() - settings.lateMilliseconds * freezeShare;
  const lastDue = Math.floor(due / settings.windowMilliseconds) - 1;
  const known = [...world.usageWindows.rows()].filter(({ state }) => state !== WindowState.Open);
  const lastFrozen = known.reduce((last, { window }) => Math.max(last, window), lastDue - 1);
  for (let window = lastFrozen + 1; window <= lastDue; window += 1) {
    world.proposals.append({
      id: asBrand(`freeze/${window}`),
      command: { kind: 'usageFrozen', window },
      proposalDeadline: deadlineAfter(now, proposalMilliseconds),
    });
  }
};

const planReport = (world: World, row: UsageWindowRow, now: Instant): void => {
  const { id, window, counts } = row;
  if (world.usageReports.has(id)) return;
  const { fencing } = leadershipOf(world);
  world.usageReports.put({ id, window, counts, fencing, isInFlight: false, sendDeadline: now });
};

const dropReports = (world: World): void =>
  [...world.usageReports.rows()].forEach(({ id }) => world.usageReports.remove(id));

const check = (world: World, settings: MeteringSettings, now: Instant): void => {
  foldOwn(world, settings, now);
  if (!canActAsLeader(world, now)) {
    dropReports(world);
    return;
  }
  freezeDue(world, settings, now);
  world.usageWindows
    .where('state', WindowState.Frozen)
    .forEach((row) => planReport(world, row, now));
};

const factHandlers: HandlerTable<ReportFact, void, [World, Instant]> = {
  accepted: ({ window }, world, now) => {
    world.usageReports.remove(usageWindowIdOf(window));
    world.proposals.append({
      id: asBrand(`reported/${window}`),
      command: { kind: 'usageReported', window },
      proposalDeadline: deadlineAfter(now, proposalMilliseconds),
    });
    world.events.append({ kind: EventKind.DutyEnded, subject: { window, outcome: 'accepted' } });
  },
  failed: ({ window, reason }, world, now) => {
    const sendDeadline = deadlineAfter(now, resendMilliseconds);
    world.usageReports.change(usageWindowIdOf(window), { isInFlight: false, sendDeadline });
    world.events.append({ kind: EventKind.DutyEnded, subject: { window, outcome: reason } });
  },
};

/** Marks the reports that are due; the port sends them while the lease holds. */
const sendDue = (world: World, now: Instant): void =>
  world.usageReports.takeDue('send', now).forEach(({ id }) => {
    if (canActAsLeader(world, now)) world.usageReports.change(id, { isInFlight: true });
  });

/** Creates the system of metering; without settings it does nothing. */
export const createMeteringSystem = (world: World): System => {
  const { metering } = world.fleet;
  if (metering !== null) {
    world.meteringClock.put({ id: clockId, checkDeadline: 0 });
  }
  return {
    name: 'metering',
    run: (now) => {
      world.reportFacts.takeAll().forEach((fact) => dispatchByKind(factHandlers, fact, world, now));
      sendDue(world, now);
      if (metering === null || world.meteringClock.takeDue('check', now).length === 0) return;
      check(world, metering, now);
      const checkDeadline = deadlineAfter(now, checkMilliseconds);
      world.meteringClock.change(clockId, { checkDeadline });
    },
  };
};
