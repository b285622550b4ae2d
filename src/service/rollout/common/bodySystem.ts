/**
 * Follows the copies of bodies and the reading of bodies from those who hold them.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { BodyId, DaemonId, LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { tendCopy, settleCopy } from './bodyCopies.js';
import { ReadState, type BodyArrival, type BodyFact, type BodyReadRow } from './bodyRows.js';

const readMilliseconds = 1_000;

const selfOf = (world: World): DaemonId => asBrand(world.self.name);

const reportStored = (world: World, to: DaemonId, facts: readonly BodyFact[]): void => {
  const bodiesWhere = (stored: boolean): string[] =>
    facts.filter((fact) => fact.stored === stored).map((fact) => fact.body);
  const message = {
    kind: 'bodiesStored' as const,
    stored: bodiesWhere(true),
    failed: bodiesWhere(false),
  };
  world.outgoingMessages.append({ to, message });
};

const takeFacts = (world: World, now: Instant): void => {
  const facts = world.bodyFacts.takeAll();
  const senders = new Set(facts.map((fact) => fact.from));
  senders.forEach((from) => {
    const ofSender = facts.filter((fact) => fact.from === from);
    if (from !== selfOf(world)) reportStored(world, from, ofSender);
    else ofSender.forEach(({ body, stored }) => settleCopy(world, body, from, stored, now));
  });
};

const askHolder = (world: World, row: BodyReadRow, now: Instant): void => {
  const holder = row.holders[row.asked];
  if (holder === undefined) {
    world.bodyReads.change(row.id, { state: ReadState.Missing });
    world.events.append({ kind: EventKind.BodyLost, subject: { body: row.body } });
    return;
  }
  const readDeadline = deadlineAfter(now, readMilliseconds);
  world.bodyReads.change(row.id, { asked: row.asked + 1, readDeadline });
  const { body, lot } = row;
  if (holder === selfOf(world)) world.bodyLoads.append({ body, lot, for: holder });
  else world.outgoingMessages.append({ to: holder, message: { kind: 'bodyAsked', body, lot } });
};

/** Holders in the order in which they are asked: this daemon first. */
const inOrder = (world: World, holders: readonly DaemonId[]): DaemonId[] =>
  [...holders].sort(
    (first, second) => Number(second === selfOf(world)) - Number(first === selfOf(world)),
  );

/** Brings a body into the memory of the port until `releaseBodies` is called for the reader. */
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
    holders: inOrder(world, source.holders),
    asked: 0,
    state: ReadState.Wanted,
    readDeadline: now,
  };
  askHolder(world, world.bodyReads.put(row), now);
};

/** Lets go of what a reader has read. */
export const releaseBodies = (world: World, reader: string): void =>
  world.bodyReads.where('reader', reader).forEach((row) => world.bodyReads.remove(row.id));

const takeArrival = (world: World, { body, found }: BodyArrival, now: Instant): void =>
  world.bodyReads
    .where('body', body)
    .filter((row) => row.state === ReadState.Wanted)
    .forEach((row) => {
      if (found) world.bodyReads.change(row.id, { state: ReadState.Here });
      else askHolder(world, row, now);
    });

/** Creates the system of bodies. */
export const createBodySystem = (world: World): System => ({
  name: 'body',
  run: (now) => {
    takeFacts(world, now);
    world.bodyArrivals.takeAll().forEach((arrival) => takeArrival(world, arrival, now));
    world.bodyCopies.takeDue('copy', now).forEach((copy) => tendCopy(world, copy, now));
    world.bodyReads.takeDue('read', now).forEach((row) => askHolder(world, row, now));
  },
});
