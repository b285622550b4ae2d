/**
 * Checks trainer requests before they reach the tables: the key, the body and access to the
 * service.
 */
import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import { findKeyRefusal } from '../../../service/configuration/common/keyChecks.js';
import {
  lotRequestSchema,
  type LotRequest,
} from '../../../service/protocol/common/trainerProtocol.js';
import type { LotSpecification } from '../../../service/rollout/common/openLot.js';
import { createRefusal, RefusalKind } from '../../../service/traffic/common/refusal.js';
import type { ServiceName, WorkspaceName } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import { describeValidationIssues, parseJson } from './decoding.js';
import { createErrorResponse } from './errorResponse.js';
import { readKeyDigest } from './keys.js';

/** Creates the response for a refused request that was not run. */
export const createRefusalResponse = (kind: RefusalKind, detail?: string): Response =>
  createErrorResponse(createRefusal(kind, true, detail));

/** Returns the workspace that owns the key of a request. */
export const authenticate = (
  world: World,
  headers: Headers,
  now: Instant,
): Result<WorkspaceName, Response> => {
  const digest = readKeyDigest(headers);
  if (digest === null) return err(createRefusalResponse(RefusalKind.MissingKey));
  const kind = findKeyRefusal(world, digest, now);
  return kind === undefined
    ? ok(world.keys.get(digest)!.workspace)
    : err(createRefusalResponse(kind));
};

/** Decodes the body of a request that opens a lot. */
export const decodeLotRequest = (text: string): Result<LotRequest, Response> =>
  parseJson(text)
    .mapErr(() => createRefusalResponse(RefusalKind.BodyNotJson))
    .andThen((value) => {
      const parsed = lotRequestSchema.safeParse(value);
      if (parsed.success) return ok(parsed.data);
      return err(
        createRefusalResponse(RefusalKind.BodyInvalid, describeValidationIssues(parsed.error)),
      );
    });

/** Checks that the service has the model and that the workspace may use the service. */
export const checkService = (
  world: World,
  workspace: WorkspaceName,
  lot: LotRequest,
): Result<LotRequest, Response> => {
  const service = world.services.get(asBrand<ServiceName>(lot.service));
  if (service?.settings.models.includes(lot.model) !== true) {
    return err(createRefusalResponse(RefusalKind.UnknownService));
  }
  const allowedServices = world.workspaces.get(workspace)?.settings.services ?? [];
  return allowedServices.includes(lot.service)
    ? ok(lot)
    : err(createRefusalResponse(RefusalKind.ServiceNotAllowed));
};

/** Creates the specification of a decoded lot, without its prompts. */
export const createLotSpecification = (
  workspace: WorkspaceName,
  request: LotRequest,
): LotSpecification => {
  const { groups, maxTokens, ...rest } = request;
  return {
    ...rest,
    workspace,
    service: asBrand<ServiceName>(request.service),
    groupCount: groups.length,
    maximumTokens: maxTokens,
  };
};

/** Computes the digest of the prompts, which distinguishes a resent request from a new one. */
export const computePromptsDigest = (prompts: string): string =>
  createHash('sha256').update(prompts).digest('hex');
