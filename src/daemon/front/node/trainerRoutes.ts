/**
 * The routes of trainers: open a lot, fetch its batches by cursor.
 */
import { Hono, type Context } from 'hono';
import { err, ok, Result } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Clock, type Instant } from '../../../base/common/time.js';
import { refusalOfKey } from '../../../service/configuration/common/keyInForce.js';
import {
  lotRequestSchema,
  lotsPath,
  notReadyStatus,
  trainerVersionQuery,
  waitQuery,
  type BatchResponse,
  type LotRequest,
} from '../../../service/protocol/common/trainerProtocol.js';
import { openLot } from '../../../service/rollout/common/openLot.js';
import {
  FetchState,
  type BatchRow,
  type FetchRow,
} from '../../../service/rollout/common/rolloutTables.js';
import { createRefusal, RefusalKind } from '../../../service/traffic/common/refusal.js';
import type {
  FetchId,
  ServiceName,
  WorkspaceName,
} from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import type { FetchPort } from '../../rollout/node/fetchPort.js';
import type { SampleExchanges } from '../../rollout/node/sampleExchanges.js';
import { describeFaults, parseJson, type RouteEnvironment } from './decoding.js';
import { errorResponse } from './errorResponse.js';
import { readKeyDigest } from './keys.js';

const retryAfterMilliseconds = 200;
const longestWaitMilliseconds = 20_000;
const createdStatus = 201;

const refuse = (kind: RefusalKind, detail?: string): Response =>
  errorResponse(createRefusal(kind, true, detail));

const authenticate = (
  world: World,
  headers: Headers,
  now: Instant,
): Result<WorkspaceName, Response> => {
  const digest = readKeyDigest(headers);
  if (digest === null) return err(refuse(RefusalKind.MissingKey));
  const kind = refusalOfKey(world, digest, now);
  return kind === undefined ? ok(world.keys.get(digest)!.workspace) : err(refuse(kind));
};

const decodeLot = (text: string): Result<LotRequest, Response> =>
  parseJson(text)
    .mapErr(() => refuse(RefusalKind.BodyNotJson))
    .andThen((value) => {
      const parsed = lotRequestSchema.safeParse(value);
      if (parsed.success) return ok(parsed.data);
      return err(refuse(RefusalKind.BodyInvalid, describeFaults(parsed.error)));
    });

const checkService = (
  world: World,
  workspace: WorkspaceName,
  lot: LotRequest,
): Result<LotRequest, Response> => {
  const service = world.services.get(asBrand<ServiceName>(lot.service));
  if (service?.settings.models.includes(lot.model) !== true) {
    return err(refuse(RefusalKind.UnknownService));
  }
  const allowed = world.workspaces.get(workspace)?.settings.services ?? [];
  return allowed.includes(lot.service) ? ok(lot) : err(refuse(RefusalKind.ServiceNotAllowed));
};

const numberQuery = (context: Context, name: string): number | null => {
  const value = Number(context.req.query(name));
  return Number.isFinite(value) && value >= 0 ? value : null;
};

/** Creates the routes of trainers. */
export const createTrainerRoutes = (
  world: World,
  samples: SampleExchanges,
  fetchPort: FetchPort,
  clock: Clock,
  wake: () => void,
): Hono<RouteEnvironment> => {
  const routes = new Hono<RouteEnvironment>();

  const open = (workspace: WorkspaceName, request: LotRequest): Response => {
    const { groups, maxTokens, ...wish } = request;
    const service = asBrand<ServiceName>(request.service);
    const opened = openLot(
      world,
      { ...wish, service, workspace, groupCount: groups.length, maximumTokens: maxTokens },
      clock(),
    );
    opened.groups.forEach((group, index) => samples.addPrompt(group, groups[index]!.prompt));
    wake();
    return Response.json({ lot: opened.lot }, { status: createdStatus });
  };

  const sampleBodies = (batch: BatchRow): BatchResponse['samples'] =>
    batch.samples.map((id) => {
      const sample = world.samples.get(id)!;
      const text = samples.textOf(sample.attempt!) ?? '';
      return { sample: id, group: sample.group, text, spans: [...sample.spans] };
    });

  const batchResponse = (row: FetchRow): Response => {
    const batch = world.batches.get(row.batch!)!;
    const { cursor, nextCursor } = batch;
    return Response.json({ cursor, nextCursor, samples: sampleBodies(batch) });
  };

  /** The response for each state in which a fetch can be decided. */
  const responses: Readonly<Record<FetchState, (row: FetchRow) => Response>> = {
    arrived: () => refuse(RefusalKind.InternalFault),
    waiting: () => refuse(RefusalKind.InternalFault),
    ready: batchResponse,
    notReady: () =>
      Response.json({ retryAfter: retryAfterMilliseconds }, { status: notReadyStatus }),
    refused: () => refuse(RefusalKind.UnknownLot),
  };

  const fetchRow = (context: Context, workspace: WorkspaceName): FetchRow => {
    const wait = Math.min(numberQuery(context, waitQuery) ?? 0, longestWaitMilliseconds);
    return {
      id: world.identifiers.next<FetchId>('fetch'),
      lot: asBrand(context.req.param('lot') ?? ''),
      workspace,
      cursor: Number(context.req.param('cursor')),
      trainerVersion: numberQuery(context, trainerVersionQuery),
      state: FetchState.Arrived,
      fetchDeadline: deadlineAfter(clock(), wait),
      batch: null,
    };
  };

  routes.post(lotsPath, async (context) => {
    const workspace = authenticate(world, context.req.raw.headers, clock());
    if (workspace.isErr()) return workspace.error;
    const text = await context.req.text();
    return decodeLot(text)
      .andThen((lot) => checkService(world, workspace.value, lot))
      .match(
        (lot) => open(workspace.value, lot),
        (response) => response,
      );
  });

  routes.get(`${lotsPath}/:lot/batches/:cursor{[0-9]+}`, async (context) => {
    const workspace = authenticate(world, context.req.raw.headers, clock());
    if (workspace.isErr()) return workspace.error;
    const row = await fetchPort.fetch(fetchRow(context, workspace.value));
    return responses[row.state](row);
  });

  return routes;
};
