/**
 * Creates the command that opens a lot. The lot identifier is derived from the request identifier
 * that the trainer chose, if any, so that a request that is sent twice opens one lot.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { Milliseconds } from '../../../base/common/time.js';
import type { LotId, ServiceName, WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { SwapPolicy } from './ledgerCommands.js';
import type { LotOpened } from './putLot.js';

/**
 * The samples that a trainer requests for one training step, and the conditions of their delivery.
 */
export interface LotSpecification {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly model: string;
  readonly step: number;
  readonly trainerVersion: number;
  readonly stalenessBound: number;
  readonly swapPolicy?: SwapPolicy | undefined;
  readonly groupCount: number;
  readonly groupSize: number;
  readonly maximumTokens: number;
  readonly remaining: Milliseconds;
  /** Identifier of the request, unique within the workspace; makes a resent request idempotent. */
  readonly request?: string | undefined;
}

const lotIdOf = (world: World, { workspace, request }: LotSpecification): LotId =>
  request === undefined
    ? world.identifiers.next<LotId>('lot')
    : asBrand(`lot-${workspace}-${request}`);

/**
 * Creates the command that opens a lot owned by this daemon. Its `holders` are filled in once the
 * prompts are stored.
 */
export const createLotOpened = (
  world: World,
  specification: LotSpecification,
  promptDigest: string,
): LotOpened => ({
  kind: 'lotOpened',
  lot: lotIdOf(world, specification),
  workspace: specification.workspace,
  service: specification.service,
  model: specification.model,
  step: specification.step,
  trainerVersion: specification.trainerVersion,
  stalenessBound: specification.stalenessBound,
  swapPolicy: specification.swapPolicy ?? SwapPolicy.Continue,
  groupCount: specification.groupCount,
  groupSize: specification.groupSize,
  maximumTokens: specification.maximumTokens,
  owner: world.self.name,
  promptDigest,
  holders: [],
  remaining: specification.remaining,
});
