/**
 * Fake trainers on virtual time: each opens a lot at one daemon, fetches batch after batch, and keeps the
 * samples that it was given.
 */
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import { deadlineAfter } from '../../src/base/common/time.js';
import { RowReader } from '../../src/platform/tables/common/rowReader.js';
import { openLot, type LotWish } from '../../src/service/rollout/common/openLot.js';
import { FetchState, type FetchRow } from '../../src/service/rollout/common/rolloutTables.js';
import type { VersionSpan } from '../../src/service/traffic/common/trafficTables.js';
import type {
  AttemptId,
  FetchId,
  LotId,
  SampleId,
} from '../../src/service/world/common/identifiers.js';
import type { VirtualContext, VirtualPort } from './virtualInstallation.js';

/** One sample as a trainer was given it. */
export interface Delivery {
  readonly lot: LotId;
  readonly cursor: number;
  readonly sample: SampleId;
  readonly attempt: AttemptId | null;
  readonly spans: readonly VersionSpan[];
  /** The weight version that the trainer ran when it asked. */
  readonly trainerVersion: number;
  readonly at: Instant;
}

/** A trainer and its lot. */
export interface Trainer {
  readonly daemon: string;
  readonly wish: LotWish;
  lot: LotId | null;
  cursor: number;
  trainerVersion: number;
  /** When the last batch came, or null. */
  finishedAt: Instant | null;
}

/** The fake trainers of one installation. */
export interface VirtualTrainers {
  /** Creates the trainer port of one start of a daemon. */
  readonly port: (context: VirtualContext) => VirtualPort;
  readonly open: (daemon: string, wish: LotWish) => Trainer;
  /** Tells the trainers of a daemon that it has ended; their lot is lost with it. */
  readonly lose: (daemon: string) => void;
  readonly trainers: () => readonly Trainer[];
  readonly deliveries: () => readonly Delivery[];
}

const fetchWaitMilliseconds = 5_000;
const fetchAgainMilliseconds = 200;

/** Creates trainers that are `latency` away from every daemon. */
export const createVirtualTrainers = (latency: Milliseconds): VirtualTrainers => {
  const contexts = new Map<string, VirtualContext>();
  const trainers: Trainer[] = [];
  const deliveries: Delivery[] = [];
  const fetching = new Map<FetchId, Trainer>();

  const fetch = (context: VirtualContext, trainer: Trainer): void => {
    const { world } = context.daemon.core;
    const id = world.identifiers.next<FetchId>('fetch');
    fetching.set(id, trainer);
    world.fetches.put({
      id,
      lot: trainer.lot!,
      workspace: trainer.wish.workspace,
      cursor: trainer.cursor,
      trainerVersion: trainer.trainerVersion,
      state: FetchState.Arrived,
      fetchDeadline: deadlineAfter(context.now(), fetchWaitMilliseconds),
      batch: null,
    });
  };

  const takeBatch = (context: VirtualContext, trainer: Trainer, row: FetchRow): void => {
    const { world } = context.daemon.core;
    const { samples, nextCursor } = world.batches.get(row.batch!)!;
    samples.forEach((id) => {
      const { attempt, spans } = world.samples.get(id)!;
      deliveries.push({
        lot: row.lot,
        cursor: row.cursor,
        sample: id,
        attempt,
        spans,
        trainerVersion: row.trainerVersion ?? 0,
        at: context.now(),
      });
    });
    if (nextCursor === null) Object.assign(trainer, { finishedAt: context.now() });
    else Object.assign(trainer, { cursor: nextCursor });
  };

  /** What a trainer does when its fetch is in a state. */
  const handlers: Readonly<
    Record<FetchState, (context: VirtualContext, trainer: Trainer, row: FetchRow) => boolean>
  > = {
    arrived: () => false,
    waiting: () => false,
    ready: (context, trainer, row) => {
      takeBatch(context, trainer, row);
      return true;
    },
    notReady: () => true,
    refused: () => true,
  };

  const takeFetch = (context: VirtualContext, row: FetchRow): void => {
    const trainer = fetching.get(row.id);
    if (trainer === undefined || !handlers[row.state](context, trainer, row)) return;
    fetching.delete(row.id);
    context.daemon.core.world.fetches.remove(row.id);
    if (trainer.finishedAt !== null) return;
    context.schedule(fetchAgainMilliseconds + latency, () => fetch(context, trainer));
  };

  return {
    port: (context) => {
      contexts.set(context.daemon.name, context);
      const { world } = context.daemon.core;
      const changes = world.fetches.readChanges(RowReader.Port);
      return {
        drain: () =>
          changes.take().forEach((id) => {
            const row = world.fetches.get(id);
            if (row !== undefined) takeFetch(context, row);
          }),
      };
    },
    open: (daemon, wish) => {
      const context = contexts.get(daemon)!;
      const { trainerVersion } = wish;
      const trainer: Trainer = {
        daemon,
        wish,
        lot: null,
        cursor: 0,
        trainerVersion,
        finishedAt: null,
      };
      trainers.push(trainer);
      context.schedule(latency, () => {
        trainer.lot = openLot(context.daemon.core.world, wish, context.now()).lot;
        fetch(context, trainer);
      });
      return trainer;
    },
    lose: (daemon) => {
      contexts.delete(daemon);
    },
    trainers: () => trainers,
    deliveries: () => deliveries,
  };
};
