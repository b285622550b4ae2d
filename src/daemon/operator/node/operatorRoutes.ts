/**
 * Routes of operators: read and edit the settings tree, issue, rotate and withdraw keys, and list
 * members and status. Edits are validated here first, so that an invalid value never reaches the
 * log.
 */
import { createHash } from 'node:crypto';
import { Hono, type Context } from 'hono';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { Clock } from '../../../base/common/time.js';
import { applyPathChange } from '../../../service/configuration/common/applyConfiguration.js';
import type { EditCommand } from '../../../service/configuration/common/configurationCommands.js';
import { explainSetting } from '../../../service/configuration/common/explain.js';
import {
  hasFreshSettings,
  findOperatorKeyRefusal,
} from '../../../service/configuration/common/keyChecks.js';
import {
  createSettingsRejection,
  SettingsRejectionKind,
} from '../../../service/configuration/common/settingsRejection.js';
import { settingsOf } from '../../../service/configuration/common/settingsTables.js';
import { listMembers, computeStatus } from '../../../service/configuration/common/status.js';
import { readAt } from '../../../service/configuration/common/treePath.js';
import { createKey, computeKeyDigest } from '../../../service/configuration/node/keyDigest.js';
import {
  keyReferenceSchema,
  keyRotationSchema,
  OperatorPath,
  treeEditSchema,
  type TreeEdit,
} from '../../../service/protocol/common/operatorProtocol.js';
import { RefusalKind } from '../../../service/traffic/common/refusal.js';
import type { World } from '../../../service/world/common/world.js';
import {
  describeValidationIssues,
  parseJson,
  type RouteEnvironment,
} from '../../front/node/decoding.js';
import { readKeyDigest } from '../../front/node/keys.js';
import type { EditPort } from './editPort.js';
import {
  createOutcomeResponse,
  createRefusalResponse,
  createRejectionResponse,
} from './operatorErrors.js';

type RouteContext = Context<RouteEnvironment>;

const defaultHistoryRows = 20;

const authenticateOperator = (world: World, context: RouteContext): Result<string, Response> => {
  const digest = readKeyDigest(context.req.raw.headers);
  const kind = findOperatorKeyRefusal(world, digest);
  return kind === undefined
    ? ok(world.operators.get(digest!)!.name)
    : err(createRefusalResponse(kind));
};

const decodeBody = async <Body>(
  context: RouteContext,
  schema: z.ZodType<Body>,
): Promise<Result<Body, Response>> => {
  const text = await context.req.text();
  return parseJson(text)
    .mapErr(() => createRefusalResponse(RefusalKind.BodyNotJson))
    .andThen((value) => {
      const parsed = schema.safeParse(value);
      if (parsed.success) return ok(parsed.data);
      return err(
        createRefusalResponse(RefusalKind.BodyInvalid, describeValidationIssues(parsed.error)),
      );
    });
};

const computeContentDigest = (value: unknown): string =>
  createHash('sha256').update(JSON.stringify(value)).digest('hex');

/**
 * Validates an edit against the settings of this daemon, if both have the same revision; otherwise
 * refuses it. A resent edit that already has an answer is not validated again.
 */
const validateEdit = (world: World, edit: TreeEdit): Response | undefined => {
  const settings = settingsOf(world);
  if (world.rememberedAnswers.has(edit.request as never)) return undefined;
  if (edit.expectedRevision > settings.revision) {
    return createRefusalResponse(
      RefusalKind.StaleConfiguration,
      'This daemon does not have the expected revision yet; send the edit again later.',
    );
  }
  if (edit.expectedRevision < settings.revision) {
    const detail = `The edit expects revision ${edit.expectedRevision}, but revision ${settings.revision} is in force.`;
    return createRejectionResponse(
      createSettingsRejection(SettingsRejectionKind.RevisionMismatch, detail),
    );
  }
  return applyPathChange(settings.tree, edit).match(() => undefined, createRejectionResponse);
};

const listKeys = (world: World) =>
  [...world.keys.rows()].map(({ workspace, name, withdrawn }) => ({ workspace, name, withdrawn }));

/** Creates the routes of operators, under the paths in `OperatorPath`. */
export const createOperatorRoutes = (
  world: World,
  editPort: EditPort,
  clock: Clock,
): Hono<RouteEnvironment> => {
  const routes = new Hono<RouteEnvironment>();

  const addGetRoute = (path: string, respond: (context: RouteContext) => Response): void => {
    routes.get(path, (context) =>
      authenticateOperator(world, context).match(
        () => respond(context),
        (response) => response,
      ),
    );
  };

  const addPostRoute = <Body>(
    path: string,
    schema: z.ZodType<Body>,
    respond: (body: Body, operator: string) => Promise<Response>,
  ): void => {
    routes.post(path, async (context) => {
      const operator = authenticateOperator(world, context);
      if (operator.isErr()) return operator.error;
      if (!hasFreshSettings(world, clock()))
        return createRefusalResponse(RefusalKind.StaleConfiguration);
      const body = await decodeBody(context, schema);
      return body.isErr() ? body.error : respond(body.value, operator.value);
    });
  };

  const editWithNewKey = async (
    createCommand: (digest: string) => EditCommand,
  ): Promise<Response> => {
    const key = createKey();
    const digest = computeKeyDigest(key);
    return createOutcomeResponse(await editPort.edit(createCommand(digest)), { key, digest });
  };

  addGetRoute(OperatorPath.Tree, (context) => {
    const { revision, tree } = settingsOf(world);
    const path = context.req.query('path') ?? '';
    return readAt(tree, path).match(
      (value) => Response.json({ revision, path, value }),
      ({ at }) =>
        createRejectionResponse(
          createSettingsRejection(
            SettingsRejectionKind.UnknownPath,
            `The settings have no value at \`${at}\`.`,
          ),
        ),
    );
  });
  addGetRoute(OperatorPath.Explain, (context) => {
    const { revision, tree } = settingsOf(world);
    const path = context.req.query('path') ?? '';
    return explainSetting(tree, path, context.req.query('service')).match(
      (levels) => Response.json({ revision, path, levels }),
      createRejectionResponse,
    );
  });
  addGetRoute(OperatorPath.History, (context) => {
    const requestedRows = Number(context.req.query('last') ?? defaultHistoryRows);
    const rows = [...world.settingsHistory.rows()];
    return Response.json({ edits: rows.slice(-Math.max(1, requestedRows || defaultHistoryRows)) });
  });
  addGetRoute(OperatorPath.Keys, () => Response.json({ keys: listKeys(world) }));
  addGetRoute(OperatorPath.Members, () => Response.json({ members: listMembers(world, clock()) }));
  addGetRoute(OperatorPath.Status, () => Response.json(computeStatus(world, clock())));

  addPostRoute(OperatorPath.Tree, treeEditSchema, async (edit, operator) => {
    const validationError = validateEdit(world, edit);
    if (validationError !== undefined) return validationError;
    const content = computeContentDigest(edit);
    return createOutcomeResponse(
      await editPort.edit({ kind: 'treeSet', ...edit, operator, content }),
    );
  });
  addPostRoute(OperatorPath.Keys, keyReferenceSchema, (keyReference, operator) =>
    editWithNewKey((digest) => {
      const content = computeContentDigest([keyReference, digest]);
      return { kind: 'keyIssue', ...keyReference, operator, digest, content };
    }),
  );
  addPostRoute(OperatorPath.KeyRotations, keyRotationSchema, (rotation, operator) =>
    editWithNewKey((digest) => {
      const content = computeContentDigest([rotation, digest]);
      return { kind: 'keyRotate', ...rotation, operator, digest, content };
    }),
  );
  addPostRoute(OperatorPath.KeyWithdrawals, keyReferenceSchema, async (keyReference, operator) => {
    const content = computeContentDigest(keyReference);
    return createOutcomeResponse(
      await editPort.edit({ kind: 'keyWithdraw', ...keyReference, operator, content }),
    );
  });
  return routes;
};
