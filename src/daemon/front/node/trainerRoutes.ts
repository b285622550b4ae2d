/**
 * Routes of trainers: open a lot, read its status, and fetch its batches by cursor. A daemon
 * without the ledger forwards all of these requests to a control daemon.
 */
import { Hono, type Context } from 'hono';
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Clock } from '../../../base/common/time.js';
import {
  lotsPath,
  notReadyStatus,
  trainerVersionQuery,
  waitQuery,
  type BatchResponse,
  type LotRequest,
} from '../../../service/protocol/common/trainerProtocol.js';
import type { BatchRow } from '../../../service/rollout/common/ledgerRows.js';
import { statusOfLot } from '../../../service/rollout/common/lotStatus.js';
import { createLotOpened } from '../../../service/rollout/common/openLot.js';
import { promptBodyIdOf } from '../../../service/rollout/common/putLot.js';
import { textBodyIdOf } from '../../../service/rollout/common/runs.js';
import { FetchState, type FetchRow } from '../../../service/rollout/common/runRows.js';
import { RefusalKind } from '../../../service/traffic/common/refusal.js';
import type { FetchId, LotId, WorkspaceName } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import type { BodyPort } from '../../rollout/common/bodyPort.js';
import type { FetchPort } from '../../rollout/node/fetchPort.js';
import { encodePrompts } from '../../rollout/node/sampleExchanges.js';
import type { SubmissionPort } from '../../rollout/node/submissionPort.js';
import type { RouteEnvironment } from './decoding.js';
import { createErrorResponse } from './errorResponse.js';
import {
  authenticate,
  checkService,
  decodeLotRequest,
  computePromptsDigest,
  createRefusalResponse,
  createLotSpecification,
} from './trainerDecoding.js';
import type { TrainerRelay } from './trainerRelay.js';

const retryAfterMilliseconds = 200;
const maximumWaitMilliseconds = 20_000;
/** Time allowed for the ledger to confirm a fetch, counted from the fetch deadline. */
const ledgerTimeoutMilliseconds = 5_000;
const createdStatus = 201;

const readNumberQuery = (context: Context, name: string): number | null => {
  const text = context.req.query(name);
  const value = Math.floor(Number(text));
  return text === undefined || !Number.isSafeInteger(value) ? null : Math.max(0, value);
};

/** Ports used by the routes of trainers. */
export interface TrainerPorts {
  readonly bodies: BodyPort;
  readonly submissions: SubmissionPort;
  readonly fetches: FetchPort;
  readonly relay: TrainerRelay;
}

/** Creates the routes of trainers. */
export const createTrainerRoutes = (
  world: World,
  ports: TrainerPorts,
  clock: Clock,
): Hono<RouteEnvironment> => {
  const routes = new Hono<RouteEnvironment>();

  const openLot = async (workspace: WorkspaceName, request: LotRequest): Promise<Response> => {
    const prompts = encodePrompts(request.groups.map((group) => group.prompt));
    const digest = computePromptsDigest(prompts);
    const command = createLotOpened(world, createLotSpecification(workspace, request), digest);
    ports.bodies.addLocalBody(promptBodyIdOf(asBrand<LotId>(command.lot), digest), prompts);
    const { id, refusal } = await ports.submissions.submit(command);
    if (refusal !== null) return createErrorResponse(refusal);
    return Response.json({ lot: id }, { status: createdStatus });
  };

  const createUnavailableResponse = (): Response =>
    createRefusalResponse(RefusalKind.BodyUnavailable);

  const collectSamples = (batch: BatchRow): BatchResponse['samples'] =>
    batch.samples.flatMap((id) => {
      const sample = world.samples.get(id)!;
      const text = ports.bodies.getContent(textBodyIdOf(id, sample.attempt!));
      if (text === undefined) return [];
      return [{ sample: id, group: sample.group, text, spans: [...sample.spans] }];
    });

  /** Creates the response with all samples of a batch; a partial batch is never returned. */
  const createBatchResponse = (row: FetchRow): Response => {
    const batch = world.batches.get(row.batch!)!;
    const { cursor, nextCursor } = batch;
    const samples = collectSamples(batch);
    if (samples.length < batch.samples.length) return createUnavailableResponse();
    return Response.json({ cursor, nextCursor, samples });
  };

  const createEndOfLotResponse = ({ cursor }: FetchRow): Response =>
    Response.json({ cursor, nextCursor: null, samples: [] });

  const createUndecidedResponse = (): Response => createRefusalResponse(RefusalKind.InternalFault);

  /** Creates the response for each fetch state; undecided states are internal faults. */
  const responseFactoryByState: Readonly<Record<FetchState, (row: FetchRow) => Response>> = {
    arrived: createUndecidedResponse,
    waiting: createUndecidedResponse,
    collecting: createUndecidedResponse,
    ready: createBatchResponse,
    ended: createEndOfLotResponse,
    notReady: () =>
      Response.json({ retryAfter: retryAfterMilliseconds }, { status: notReadyStatus }),
    refused: () => createRefusalResponse(RefusalKind.UnknownLot),
    failed: () => createRefusalResponse(RefusalKind.LotDeadlinePassed),
    unavailable: createUnavailableResponse,
    ledgerSilent: () => createRefusalResponse(RefusalKind.LedgerUnavailable),
  };

  const createFetchRow = (context: Context, workspace: WorkspaceName): FetchRow => {
    const boundedWaitMilliseconds = Math.min(
      readNumberQuery(context, waitQuery) ?? 0,
      maximumWaitMilliseconds,
    );
    const fetchDeadline = deadlineAfter(clock(), boundedWaitMilliseconds);
    return {
      id: world.identifiers.next<FetchId>('fetch'),
      lot: asBrand(context.req.param('lot') ?? ''),
      workspace,
      cursor: Number(context.req.param('cursor')),
      trainerVersion: readNumberQuery(context, trainerVersionQuery),
      state: FetchState.Arrived,
      fetchDeadline,
      ledgerDeadline: deadlineAfter(fetchDeadline, ledgerTimeoutMilliseconds),
      batch: null,
      isConfirmed: false,
    };
  };

  routes.use(`${lotsPath}/*`, (context, next) =>
    ports.relay.isNeeded() ? ports.relay.forward(context.req) : next(),
  );

  routes.post(lotsPath, async (context) => {
    const workspace = authenticate(world, context.req.raw.headers, clock());
    if (workspace.isErr()) return workspace.error;
    const text = await context.req.text();
    return decodeLotRequest(text)
      .andThen((lot) => checkService(world, workspace.value, lot))
      .match(
        (lot) => openLot(workspace.value, lot),
        (response) => response,
      );
  });

  routes.get(`${lotsPath}/:lot`, (context) => {
    const workspace = authenticate(world, context.req.raw.headers, clock());
    if (workspace.isErr()) return workspace.error;
    const status = statusOfLot(world, asBrand<LotId>(context.req.param('lot')), workspace.value);
    return status === undefined
      ? createRefusalResponse(RefusalKind.UnknownLot)
      : Response.json(status);
  });

  routes.get(`${lotsPath}/:lot/batches/:cursor{[0-9]+}`, async (context) => {
    const workspace = authenticate(world, context.req.raw.headers, clock());
    if (workspace.isErr()) return workspace.error;
    if (!Number.isSafeInteger(Number(context.req.param('cursor'))))
      return createRefusalResponse(RefusalKind.UnknownLot);
    return ports.fetches.fetch(createFetchRow(context, workspace.value), (row) =>
      responseFactoryByState[row.state](row),
    );
  });

  return routes;
};
