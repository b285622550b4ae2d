/**
 * Opens a lot: plans its groups and samples as rows. The prompts stay with the port that decoded them.
 */
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type {
  GroupId,
  LotId,
  SampleId,
  ServiceName,
  WorkspaceName,
} from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { LotState, SampleState } from './rolloutTables.js';

/** What a trainer wants for one step. */
export interface LotWish {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly model: string;
  readonly step: number;
  readonly trainerVersion: number;
  readonly stalenessBound: number;
  readonly groupCount: number;
  readonly groupSize: number;
  readonly maximumTokens: number;
  readonly remaining: Milliseconds;
}

const planGroup = (
  world: World,
  lot: LotId,
  position: number,
  size: number,
  now: Instant,
): GroupId => {
  const group = world.identifiers.next<GroupId>('group');
  world.groups.put({ id: group, lot, position });
  Array.from({ length: size }, () =>
    world.samples.put({
      id: world.identifiers.next<SampleId>('sample'),
      lot,
      group,
      state: SampleState.Planned,
      planDeadline: now,
      request: null,
      attempt: null,
      spans: [],
    }),
  );
  return group;
};

/** The identifiers of an opened lot; groups are in the order of their prompts. */
export interface OpenedLot {
  readonly lot: LotId;
  readonly groups: readonly GroupId[];
}

/** Puts the rows of a lot; the planner makes their requests in the next tick. */
export const openLot = (world: World, wish: LotWish, now: Instant): OpenedLot => {
  const lot = world.identifiers.next<LotId>('lot');
  world.lots.put({
    id: lot,
    workspace: wish.workspace,
    service: wish.service,
    model: wish.model,
    step: wish.step,
    trainerVersion: wish.trainerVersion,
    stalenessBound: wish.stalenessBound,
    groupSize: wish.groupSize,
    maximumTokens: wish.maximumTokens,
    state: LotState.Open,
    lotDeadline: deadlineAfter(now, wish.remaining),
    nextCursor: 0,
  });
  const groups = Array.from({ length: wish.groupCount }, (_, position) =>
    planGroup(world, lot, position, wish.groupSize, now),
  );
  world.events.append({
    kind: EventKind.LotOpened,
    subject: { lot, workspace: wish.workspace, samples: wish.groupCount * wish.groupSize },
  });
  return { lot, groups };
};
