/**
 * Announcements of an upstream stand-in: posts what the upstream says of itself to every entry, at once
 * and again before the last announcement runs out.
 */
import { Agent, request } from 'undici';
import { asBrand, type Brand } from '../../src/base/common/brand.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../src/base/common/time.js';
import { monotonicClock } from '../../src/base/node/monotonicClock.js';
import { createTable } from '../../src/infrastructure/tables/common/table.js';
import type { System } from '../../src/infrastructure/tables/common/tick.js';
import {
  announcementPath,
  type Announcement,
} from '../../src/service/protocol/common/upstreamProtocol.js';
import { createCounters } from '../common/counters.js';
import { startLoop } from '../common/nodeLoop.js';

/** An entry to which the upstream announces itself; the id is its base address. */
interface EntryRow {
  readonly id: Brand<'entry'>;
  readonly announceDeadline: Instant;
}

export type AnnouncementCounter = 'announced' | 'announcementsFailed';

/** Announces one upstream until it is disposed of. */
export interface Announcer {
  /** Adds entries by base address; each hears of the upstream at once. */
  readonly announceTo: (addresses: readonly string[]) => void;
  /** Tells every entry at once, after what the upstream says of itself has changed. */
  readonly announceNow: () => void;
  readonly counters: () => Readonly<Record<AnnouncementCounter, number>>;
  readonly dispose: () => Promise<void>;
}

/** Announcements in the time for which one of them holds. */
const announcementsPerLifetime = 3;

/** Creates an announcer. `describe` gives the upstream as it is now; `lifetime` is in milliseconds. */
export const createAnnouncer = (
  createAnnouncement: () => Announcement,
  lifetime: Milliseconds,
): Announcer => {
  const counters = createCounters<AnnouncementCounter>(['announced', 'announcementsFailed']);
  const agent = new Agent();
  const entries = createTable<EntryRow, never, 'announce'>({
    name: 'entries',
    indices: {},
    deadlines: { announce: (row) => row.announceDeadline },
  });
  let isDisposed = false;

  const sendAnnouncement = async (address: string): Promise<void> => {
    const answer = await request(`${address}${announcementPath}`, {
      dispatcher: agent,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(createAnnouncement()),
    });
    await answer.body.dump();
    const isAccepted = answer.statusCode >= 200 && answer.statusCode < 300;
    counters.add(isAccepted ? 'announced' : 'announcementsFailed');
  };

  const announcing: System = {
    name: 'announcing',
    run: (now) =>
      entries.takeDue('announce', now).forEach((row) => {
        const announceDeadline = deadlineAfter(now, lifetime / announcementsPerLifetime);
        entries.change(row.id, { announceDeadline });
        sendAnnouncement(row.id).catch(() => counters.add('announcementsFailed'));
      }),
  };

  const loop = startLoop([entries], [announcing]);

  const scheduleAnnouncement = (address: string): void => {
    entries.put({ id: asBrand(address), announceDeadline: monotonicClock() });
  };

  return {
    announceTo: (addresses) => {
      addresses.forEach(scheduleAnnouncement);
      loop.wake();
    },
    announceNow: () => {
      [...entries.rows()].forEach((row) => scheduleAnnouncement(row.id));
      loop.wake();
    },
    counters: counters.read,
    dispose: async () => {
      if (isDisposed) return;
      isDisposed = true;
      loop.dispose();
      await agent.destroy();
    },
  };
};
