/**
 * Routes of callers: chat and completion routes for model engines, plain services by path, and
 * address advice. They decode and check requests; systems select the upstream.
 */
import { Hono, type Context } from 'hono';
import { err, ok, Result } from 'neverthrow';
import * as z from 'zod';
import { rankAddresses } from '../../../service/advice/common/advice.js';
import {
  chatCompletionsPath,
  completionsPath,
  maximumTokens,
} from '../../../service/protocol/common/engineProtocol.js';
import { createRefusal, RefusalKind } from '../../../service/traffic/common/refusal.js';
import type { ServiceName } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import { computeContentDigest } from '../../exchange/node/contentDigest.js';
import type { RequestContent } from '../../exchange/node/exchange.js';
import { describeValidationIssues, parseJson, type RouteEnvironment } from './decoding.js';
import { createErrorResponse } from './errorResponse.js';
import { containsKey, readKey, readKeyDigest } from './keys.js';
import type { DecodedRequest, Submitter } from './submission.js';

type RouteContext = Context<RouteEnvironment>;

/** Caller headers that are forwarded to an upstream; headers that carry a key are excluded. */
const forwardedHeaderNames = [
  'content-type',
  'accept',
  'accept-language',
  'x-request-id',
  'traceparent',
  'if-none-match',
  'if-match',
];

const engineBodySchema = z.looseObject({
  model: z.string().min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().max(maximumTokens).optional(),
});
type EngineBody = z.infer<typeof engineBodySchema>;

const defaultCompletionTokens = 256;
const estimatedBytesPerToken = 4;

const selectForwardedHeaders = (headers: Headers): Record<string, string> =>
  Object.fromEntries(
    forwardedHeaderNames.flatMap((name) => {
      const value = headers.get(name);
      return value === null ? [] : [[name, value]];
    }),
  );

const findServiceByModel = (world: World, model: string): ServiceName | null =>
  world.services.selectableRows('model', model)[0]?.id ?? null;

/** Returns the service with the longest path prefix of `path`, compared by whole segments. */
const findServiceByPath = (world: World, path: string): ServiceName | null => {
  for (
    let prefixEnd = path.length;
    prefixEnd > 0;
    prefixEnd = path.lastIndexOf('/', prefixEnd - 1)
  ) {
    const [service] = world.services.where('path', path.slice(0, prefixEnd));
    if (service !== undefined) return service.id;
  }
  return null;
};

const createRequestContent = (
  context: RouteContext,
  path: string,
  body: Uint8Array,
): RequestContent => ({
  method: context.req.method,
  path,
  headers: selectForwardedHeaders(context.req.raw.headers),
  body: body.length === 0 ? null : body,
});

/** Submits a request and notifies the submitter if the caller disconnects early. */
const submitAndWatch = (
  submitter: Submitter,
  context: RouteContext,
  decoded: DecodedRequest,
  content: RequestContent,
): Promise<Response> => {
  const key = readKey(context.req.raw.headers);
  if (key !== null && containsKey(key, content)) {
    return Promise.resolve(createErrorResponse(createRefusal(RefusalKind.KeyInContent, true)));
  }
  const { outgoing } = context.env;
  const { request, response } = submitter.submit(decoded, content, outgoing);
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) submitter.depart(request);
  });
  return response;
};

const decodeEngineBody = (bytes: Uint8Array): Result<EngineBody, Response> => {
  const createRefusalResponse = (kind: RefusalKind, detail?: string): Response =>
    createErrorResponse(createRefusal(kind, true, detail));
  return parseJson(Buffer.from(bytes).toString('utf8'))
    .mapErr(() => createRefusalResponse(RefusalKind.BodyNotJson))
    .andThen((value) => {
      const parsed = engineBodySchema.safeParse(value);
      if (parsed.success) return ok(parsed.data);
      return err(
        createRefusalResponse(RefusalKind.BodyInvalid, describeValidationIssues(parsed.error)),
      );
    });
};

/** Creates the routes of callers. */
export const createCallerRoutes = (world: World, submitter: Submitter): Hono<RouteEnvironment> => {
  const routes = new Hono<RouteEnvironment>();

  const submitToEngine = async (context: RouteContext): Promise<Response> => {
    const bytes = new Uint8Array(await context.req.arrayBuffer());
    const body = decodeEngineBody(bytes);
    if (body.isErr()) return body.error;
    const decoded: DecodedRequest = {
      keyDigest: readKeyDigest(context.req.raw.headers),
      service: findServiceByModel(world, body.value.model),
      model: body.value.model,
      digest: computeContentDigest(context.req.method, context.req.path, bytes),
      estimatedTokens:
        Math.ceil(bytes.length / estimatedBytesPerToken) +
        (body.value.max_tokens ?? defaultCompletionTokens),
    };
    return submitAndWatch(
      submitter,
      context,
      decoded,
      createRequestContent(context, context.req.path, bytes),
    );
  };

  const submitToPlainService = async (context: RouteContext): Promise<Response> => {
    const bytes = new Uint8Array(await context.req.arrayBuffer());
    const { pathname, search } = new URL(context.req.url);
    const decoded: DecodedRequest = {
      keyDigest: readKeyDigest(context.req.raw.headers),
      service: findServiceByPath(world, pathname),
      model: null,
      digest: computeContentDigest(context.req.method, `${pathname}${search}`, bytes),
      estimatedTokens: Math.ceil(bytes.length / estimatedBytesPerToken),
    };
    return submitAndWatch(
      submitter,
      context,
      decoded,
      createRequestContent(context, `${pathname}${search}`, bytes),
    );
  };

  routes.get('/v1/address', (context) =>
    context.json(rankAddresses(world, context.req.query('zone'))),
  );
  routes.post(chatCompletionsPath, submitToEngine);
  routes.post(completionsPath, submitToEngine);
  routes.all('*', submitToPlainService);
  return routes;
};
