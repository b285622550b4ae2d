/**
 * Sends the leader's orders to upstreams. Each upstream receives its orders one at a time in log
 * order: the next order is sent once the result of the previous one is committed. An order that an
 * earlier leader may have sent, or that was not answered, is read back from the upstream before it
 * is resent. Runs each tick, and only on the leader while its lease is valid.
 */
import { asBrand } from '../../../base/common/brand.js';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { maximumOrderTransitMilliseconds } from '../../consensus/common/consensusTiming.js';
import { leadershipOf, canActAsLeader } from '../../consensus/common/lease.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { OrderClosed } from './orderCommands.js';
import {
  OrderPhase,
  type IntentRow,
  type OrderAttemptRow,
  type OrderFact,
  type OrderId,
} from './orderTables.js';

const retryDelayMilliseconds: Milliseconds = 500;
/** If the port reports no result within this time, the outcome is treated as unknown. */
const answerTimeoutMilliseconds: Milliseconds = 2 * maximumOrderTransitMilliseconds;
const closeTimeoutMilliseconds: Milliseconds = 3_000;

const findFirstOpenIntent = (world: World, upstream: string): IntentRow | undefined =>
  world.intents
    .where('openUpstream', upstream)
    .reduce<IntentRow | undefined>(
      (first, row) => (first === undefined || row.index < first.index ? row : first),
      undefined,
    );

const startAttempt = (world: World, upstream: string, now: Instant): void => {
  const intent = findFirstOpenIntent(world, upstream);
  if (intent === undefined || world.orderAttempts.has(intent.id)) return;
  const isFromEarlierLeader = intent.index < leadershipOf(world).fencing;
  const phase = isFromEarlierLeader ? OrderPhase.ReadBack : OrderPhase.Send;
  world.orderAttempts.put({ id: intent.id, phase, result: null, stepDeadline: now });
};

const proposeClose = (world: World, { id, result }: OrderAttemptRow, now: Instant): Instant => {
  const deadline = deadlineAfter(now, closeTimeoutMilliseconds);
  world.proposals.append({
    id: asBrand(`close-${id}`),
    command: { kind: 'orderClosed', order: id, result: result! },
    proposalDeadline: deadline,
  });
  return deadline;
};

const upstreamAddressOf = (world: World, id: OrderId): string | undefined =>
  world.upstreams.get(world.intents.get(id)!.upstream)?.address;

const sendOrder = (world: World, { id }: OrderAttemptRow, now: Instant): Instant => {
  const { action, target, index } = world.intents.get(id)!;
  const address = upstreamAddressOf(world, id);
  if (address === undefined) return deadlineAfter(now, retryDelayMilliseconds);
  const body = { order: id, fencing: index, action, target };
  world.orderRequests.append({ kind: 'send', order: id, address, body });
  world.orderAttempts.change(id, { phase: OrderPhase.Sent });
  return deadlineAfter(now, answerTimeoutMilliseconds);
};

const requestReadBack = (world: World, { id }: OrderAttemptRow, now: Instant): Instant => {
  const address = upstreamAddressOf(world, id);
  if (address === undefined) return deadlineAfter(now, retryDelayMilliseconds);
  world.orderRequests.append({ kind: 'readBack', order: id, address });
  world.orderAttempts.change(id, { phase: OrderPhase.ReadBack });
  return deadlineAfter(now, answerTimeoutMilliseconds);
};

const phaseHandlers: Readonly<
  Record<OrderPhase, (world: World, row: OrderAttemptRow, now: Instant) => Instant>
> = {
  readBack: requestReadBack,
  send: sendOrder,
  /** The answer timed out. */
  sent: requestReadBack,
  close: proposeClose,
};

/** Executes the due step of an attempt and sets the deadline of the next one. */
const executeStep = (world: World, row: OrderAttemptRow, now: Instant): void => {
  const stepDeadline = phaseHandlers[row.phase](world, row, now);
  world.orderAttempts.change(row.id, { stepDeadline });
};

const closeAttempt = (
  world: World,
  id: OrderId,
  result: OrderClosed['result'],
  now: Instant,
): void => {
  world.orderAttempts.change(id, { phase: OrderPhase.Close, result, stepDeadline: now });
  world.events.append({ kind: EventKind.OrderEnded, subject: { order: id, result } });
};

const orderFactHandlers: HandlerTable<OrderFact, void, [World, Instant]> = {
  done: ({ order }, world, now) => closeAttempt(world, order, 'done', now),
  refused: ({ order }, world, now) => closeAttempt(world, order, 'refused', now),
  notSent: ({ order }, world, now) => {
    const currentPhase = world.orderAttempts.get(order)!.phase;
    const phase = currentPhase === OrderPhase.Sent ? OrderPhase.Send : currentPhase;
    const stepDeadline = deadlineAfter(now, retryDelayMilliseconds);
    world.orderAttempts.change(order, { phase, stepDeadline });
  },
  unknown: ({ order }, world, now) => {
    // Waits until an order that is still in flight has arrived, so that the state read back
    // includes it.
    const stepDeadline = deadlineAfter(now, maximumOrderTransitMilliseconds);
    world.orderAttempts.change(order, { phase: OrderPhase.ReadBack, stepDeadline });
  },
  state: ({ order, ordersDone }, world, now) => {
    if (ordersDone.includes(order)) closeAttempt(world, order, 'done', now);
    else world.orderAttempts.change(order, { phase: OrderPhase.Send, stepDeadline: now });
  },
};

const handleOrderFact = (world: World, fact: OrderFact, now: Instant): void => {
  const attempt = world.orderAttempts.get(fact.order);
  if (attempt === undefined || attempt.phase === OrderPhase.Close) {
    world.metrics.count('orders.lateFacts');
    return;
  }
  dispatchByKind(orderFactHandlers, fact, world, now);
};

const removeAllAttempts = (world: World): void =>
  [...world.orderAttempts.rows()].forEach(({ id }) => world.orderAttempts.remove(id));

/** Creates the system that sends orders to upstreams. */
export const createOrderSystem = (world: World): System => {
  const intentChanges = world.intents.createChangeReader();
  let actingFencing = 0;

  const changedUpstreams = (): Set<UpstreamId> => {
    const rows = intentChanges.take().map((id) => world.intents.get(id));
    const existing = rows.filter((row) => row !== undefined);
    existing
      .filter((row) => row.result !== null)
      .forEach(({ id }) => world.orderAttempts.remove(id));
    return new Set(existing.map(({ upstream }) => upstream));
  };

  const startAttempts = (now: Instant): void => {
    const { fencing } = leadershipOf(world);
    const changedUpstreamIds = changedUpstreams();
    const upstreams =
      fencing === actingFencing ? changedUpstreamIds : world.intents.values('openUpstream');
    actingFencing = fencing;
    [...upstreams].forEach((upstream) => startAttempt(world, upstream, now));
  };

  const resetLeaderState = (): void => {
    actingFencing = 0;
    intentChanges.take();
    removeAllAttempts(world);
  };

  return {
    name: 'order',
    run: (now) => {
      world.orderFacts.takeAll().forEach((fact) => handleOrderFact(world, fact, now));
      if (!canActAsLeader(world, now)) {
        resetLeaderState();
        return;
      }
      startAttempts(now);
      world.orderAttempts.takeDue('step', now).forEach((row) => executeStep(world, row, now));
    },
  };
};
