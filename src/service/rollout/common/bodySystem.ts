/**
 * Tracks the replication of bodies and reads bodies from their replica holders. Runs each tick on
 * the port's write and read results and on expired copies and reads. It never touches the bytes of
 * a body; the port does.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { BodyId, DaemonId, LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { maintainCopy, recordCopyResult } from './bodyCopies.js';
import {
  ReadState,
  type BodyLoadResult,
  type BodyWriteResult,
  type BodyReadRow,
} from './bodyRows.js';

const readTimeoutMilliseconds = 1_000;

const selfIdOf = (world: World): DaemonId => asBrand(world.self.name);

const sendWriteResults = (
  world: World,
  to: DaemonId,
  results: readonly BodyWriteResult[],
): void => {
  const bodiesWithResult = (stored: boolean): string[] =>
    results.filter((result) => result.stored === stored).map((result) => result.body);
  const message = {
    kind: 'bodiesStored' as const,
    stored: bodiesWithResult(true),
    failed: bodiesWithResult(false),
  };
  world.outgoingMessages.append({ to, message });
};

const handleWriteResults = (world: World, now: Instant): void => {
  const results = world.bodyFacts.takeAll();
  const requesters = new Set(results.map((result) => result.from));
  requesters.forEach((from) => {
    const resultsOfRequester = results.filter((result) => result.from === from);
    if (from !== selfIdOf(world)) sendWriteResults(world, from, resultsOfRequester);
    else
      resultsOfRequester.forEach(({ body, stored }) =>
        recordCopyResult(world, body, from, stored, now),
      );
  });
};

const requestFromNextHolder = (world: World, row: BodyReadRow, now: Instant): void => {
  const holder = row.holders[row.requestedHolderCount];
  if (holder === undefined) {
    world.bodyReads.change(row.id, { state: ReadState.Missing });
    world.events.append({ kind: EventKind.BodyLost, subject: { body: row.body } });
    return;
  }
  const readDeadline = deadlineAfter(now, readTimeoutMilliseconds);
  world.bodyReads.change(row.id, {
    requestedHolderCount: row.requestedHolderCount + 1,
    readDeadline,
  });
  const { body, lot } = row;
  if (holder === selfIdOf(world)) world.bodyLoads.append({ body, lot, recipient: holder });
  else world.outgoingMessages.append({ to: holder, message: { kind: 'bodyAsked', body, lot } });
};

/** Returns the replica holders in request order: this daemon first, the others as given. */
const sortHolders = (world: World, holders: readonly DaemonId[]): DaemonId[] =>
  [...holders].sort(
    (first, second) => Number(second === selfIdOf(world)) - Number(first === selfIdOf(world)),
  );

/**
 * Loads a body into the port's memory, where it stays until `releaseBodies` is called for the
 * reader.
 */
export const readBody = (
  world: World,
  reader: string,
  source: { readonly body: BodyId; readonly lot: LotId; readonly holders: readonly DaemonId[] },
  now: Instant,
): void => {
  const { body, lot } = source;
  const row: BodyReadRow = {
    id: asBrand(`${reader}|${body}`),
    body,
    lot,
    reader,
    holders: sortHolders(world, source.holders),
    requestedHolderCount: 0,
    state: ReadState.Pending,
    readDeadline: now,
  };
  requestFromNextHolder(world, world.bodyReads.put(row), now);
};

/** Releases all bodies that were loaded for a reader. */
export const releaseBodies = (world: World, reader: string): void =>
  world.bodyReads.where('reader', reader).forEach((row) => world.bodyReads.remove(row.id));

const handleArrival = (world: World, { body, found }: BodyLoadResult, now: Instant): void =>
  world.bodyReads
    .where('body', body)
    .filter((row) => row.state === ReadState.Pending)
    .forEach((row) => {
      if (found) world.bodyReads.change(row.id, { state: ReadState.Loaded });
      else requestFromNextHolder(world, row, now);
    });

/** Creates the system that replicates and reads bodies. */
export const createBodySystem = (world: World): System => ({
  name: 'body',
  run: (now) => {
    handleWriteResults(world, now);
    world.bodyArrivals.takeAll().forEach((arrival) => handleArrival(world, arrival, now));
    world.bodyCopies.takeDue('copy', now).forEach((copy) => maintainCopy(world, copy, now));
    world.bodyReads.takeDue('read', now).forEach((row) => requestFromNextHolder(world, row, now));
  },
});
