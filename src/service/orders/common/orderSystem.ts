/**
 * The leader's orders to upstreams. An upstream gets the orders meant for it one after the other, in the
 * order of the log: the next is sent when the outcome of the one before is in the log. What an earlier
 * leader may have sent, and what no answer came to, is read back from the upstream before it is sent again.
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

const retryMilliseconds: Milliseconds = 500;
/** After this time without a fact from the port the outcome counts as unknown. */
const answerMilliseconds: Milliseconds = 2 * maximumOrderTransitMilliseconds;
const closeMilliseconds: Milliseconds = 3_000;

const firstOpenIntent = (world: World, upstream: string): IntentRow | undefined =>
  world.intents
    .where('openUpstream', upstream)
    .reduce<IntentRow | undefined>(
      (first, row) => (first === undefined || row.index < first.index ? row : first),
      undefined,
    );

const startAttempt = (world: World, upstream: string, now: Instant): void => {
  const intent = firstOpenIntent(world, upstream);
  if (intent === undefined || world.orderAttempts.has(intent.id)) return;
  const isOfEarlierLeader = intent.index < leadershipOf(world).fencing;
  const phase = isOfEarlierLeader ? OrderPhase.ReadBack : OrderPhase.Send;
  world.orderAttempts.put({ id: intent.id, phase, result: null, stepDeadline: now });
};

const proposeClose = (world: World, { id, result }: OrderAttemptRow, now: Instant): Instant => {
  const deadline = deadlineAfter(now, closeMilliseconds);
  world.proposals.append({
    id: asBrand(`close-${id}`),
    command: { kind: 'orderClosed', order: id, result: result! },
    proposalDeadline: deadline,
  });
  return deadline;
};

const addressFor = (world: World, id: OrderId): string | undefined =>
  world.upstreams.get(world.intents.get(id)!.upstream)?.address;

const send = (world: World, { id }: OrderAttemptRow, now: Instant): Instant => {
  const { action, target, index } = world.intents.get(id)!;
  const address = addressFor(world, id);
  if (address === undefined) return deadlineAfter(now, retryMilliseconds);
  const body = { order: id, fencing: index, action, target };
  world.orderRequests.append({ kind: 'send', order: id, address, body });
  world.orderAttempts.change(id, { phase: OrderPhase.Sent });
  return deadlineAfter(now, answerMilliseconds);
};

const readBack = (world: World, { id }: OrderAttemptRow, now: Instant): Instant => {
  const address = addressFor(world, id);
  if (address === undefined) return deadlineAfter(now, retryMilliseconds);
  world.orderRequests.append({ kind: 'readBack', order: id, address });
  world.orderAttempts.change(id, { phase: OrderPhase.ReadBack });
  return deadlineAfter(now, answerMilliseconds);
};

const steps: Readonly<
  Record<OrderPhase, (world: World, row: OrderAttemptRow, now: Instant) => Instant>
> = {
  readBack,
  send,
  /** No answer came in time. */
  sent: readBack,
  close: proposeClose,
};

/** Carries out the step that is due. */
const step = (world: World, row: OrderAttemptRow, now: Instant): void => {
  const stepDeadline = steps[row.phase](world, row, now);
  world.orderAttempts.change(row.id, { stepDeadline });
};

const close = (world: World, id: OrderId, result: OrderClosed['result'], now: Instant): void => {
  world.orderAttempts.change(id, { phase: OrderPhase.Close, result, stepDeadline: now });
  world.events.append({ kind: EventKind.OrderEnded, subject: { order: id, result } });
};

const factHandlers: HandlerTable<OrderFact, void, [World, Instant]> = {
  done: ({ order }, world, now) => close(world, order, 'done', now),
  refused: ({ order }, world, now) => close(world, order, 'refused', now),
  notSent: ({ order }, world, now) => {
    const before = world.orderAttempts.get(order)!.phase;
    const phase = before === OrderPhase.Sent ? OrderPhase.Send : before;
    const stepDeadline = deadlineAfter(now, retryMilliseconds);
    world.orderAttempts.change(order, { phase, stepDeadline });
  },
  unknown: ({ order }, world, now) => {
    // An order that is still on its way must have come before the state is read.
    const stepDeadline = deadlineAfter(now, maximumOrderTransitMilliseconds);
    world.orderAttempts.change(order, { phase: OrderPhase.ReadBack, stepDeadline });
  },
  state: ({ order, ordersDone }, world, now) => {
    if (ordersDone.includes(order)) close(world, order, 'done', now);
    else world.orderAttempts.change(order, { phase: OrderPhase.Send, stepDeadline: now });
  },
};

const takeFact = (world: World, fact: OrderFact, now: Instant): void => {
  const attempt = world.orderAttempts.get(fact.order);
  if (attempt === undefined || attempt.phase === OrderPhase.Close) {
    world.metrics.count('orders.lateFacts');
    return;
  }
  dispatchByKind(factHandlers, fact, world, now);
};

const forgetAll = (world: World): void =>
  [...world.orderAttempts.rows()].forEach(({ id }) => world.orderAttempts.remove(id));

/** Creates the system of orders. */
export const createOrderSystem = (world: World): System => {
  const changes = world.intents.createChangeReader();
  let actingFencing = 0;

  const changedUpstreams = (): Set<UpstreamId> => {
    const rows = changes.take().map((id) => world.intents.get(id));
    const known = rows.filter((row) => row !== undefined);
    known.filter((row) => row.result !== null).forEach(({ id }) => world.orderAttempts.remove(id));
    return new Set(known.map(({ upstream }) => upstream));
  };

  const takeUp = (now: Instant): void => {
    const { fencing } = leadershipOf(world);
    const changed = changedUpstreams();
    const upstreams = fencing === actingFencing ? changed : world.intents.values('openUpstream');
    actingFencing = fencing;
    [...upstreams].forEach((upstream) => startAttempt(world, upstream, now));
  };

  const stopActing = (): void => {
    actingFencing = 0;
    changes.take();
    forgetAll(world);
  };

  return {
    name: 'order',
    run: (now) => {
      world.orderFacts.takeAll().forEach((fact) => takeFact(world, fact, now));
      if (!canActAsLeader(world, now)) {
        stopActing();
        return;
      }
      takeUp(now);
      world.orderAttempts.takeDue('step', now).forEach((row) => step(world, row, now));
    },
  };
};
