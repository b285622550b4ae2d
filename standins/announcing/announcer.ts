/**
 * Announcements of an upstream stand-in: posts its current state to every entry immediately, and
 * again before the previous announcement expires.
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

/** An entry that receives the announcements; its id is its base address. */
interface EntryRow {
  readonly id: Brand<'entry'>;
  readonly announceDeadline: Instant;
}

export type AnnouncementCounter = 'announced' | 'announcementsFailed';

/** Announces one upstream until it is disposed of. */
export interface Announcer {
  /** Adds entries by base address and announces the upstream to them immediately. */
  readonly announceTo: (addresses: readonly string[]) => void;
  /** Announces the upstream to every entry immediately, after its state has changed. */
  readonly announceNow: () => void;
  readonly counters: () => Readonly<Record<AnnouncementCounter, number>>;
  readonly dispose: () => Promise<void>;
}

/** Number of announcements sent during the lifetime of one announcement. */
const announcementsPerLifetime = 3;

/**
 * Creates an announcer. `createAnnouncement` returns the current state; `lifetime` is in
 * milliseconds.
 */
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

  const announceSystem: System = {
    name: 'announcing',
    run: (now) =>
      entries.takeDue('announce', now).forEach((row) => {
        const announceDeadline = deadlineAfter(now, lifetime / announcementsPerLifetime);
        entries.change(row.id, { announceDeadline });
        sendAnnouncement(row.id).catch(() => counters.add('announcementsFailed'));
      }),
  };

  const loop = startLoop([entries], [announceSystem]);

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
