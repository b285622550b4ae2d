/**
 * Makes the command that opens a lot. A request identifier that the trainer chose gives the lot its
 * identifier, so that a request that is sent twice opens one lot.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { Milliseconds } from '../../../base/common/time.js';
import type { LotId, ServiceName, WorkspaceName } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { SwapPolicy } from './ledgerCommands.js';
import type { LotOpened } from './putLot.js';

/** What a trainer wants for one step. */
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
  /** Identifies the request among those of the workspace. */
  readonly request?: string | undefined;
}

const lotIdOf = (world: World, { workspace, request }: LotSpecification): LotId =>
  request === undefined
    ? world.identifiers.next<LotId>('lot')
    : asBrand(`lot-${workspace}-${request}`);

/** The command that opens a lot owned by this daemon; its holders are known when they have the prompts. */
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
