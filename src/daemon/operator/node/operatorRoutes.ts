/**
 * The routes of operators: read and edit the settings tree, make and withdraw keys, see the members and
 * the status. Edits are checked here first, so that a value of the wrong form never reaches the log.
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
import { describeFaults, parseJson, type RouteEnvironment } from '../../front/node/decoding.js';
import { readKeyDigest } from '../../front/node/keys.js';
import type { EditPort } from './editPort.js';
import { outcomeResponse, refuse, rejectionResponse } from './operatorErrors.js';

type RouteContext = Context<RouteEnvironment>;

const defaultHistoryRows = 20;

const operatorOf = (world: World, context: RouteContext): Result<string, Response> => {
  const digest = readKeyDigest(context.req.raw.headers);
  const kind = findOperatorKeyRefusal(world, digest);
  return kind === undefined ? ok(world.operators.get(digest!)!.name) : err(refuse(kind));
};

const decode = async <Body>(
  context: RouteContext,
  schema: z.ZodType<Body>,
): Promise<Result<Body, Response>> => {
  const text = await context.req.text();
  return parseJson(text)
    .mapErr(() => refuse(RefusalKind.BodyNotJson))
    .andThen((value) => {
      const parsed = schema.safeParse(value);
      if (parsed.success) return ok(parsed.data);
      return err(refuse(RefusalKind.BodyInvalid, describeFaults(parsed.error)));
    });
};

const contentOf = (value: unknown): string =>
  createHash('sha256').update(JSON.stringify(value)).digest('hex');

/** Checks an edit against the settings of this entry, where they are those that it was made from. */
const precheck = (world: World, edit: TreeEdit): Response | undefined => {
  const settings = settingsOf(world);
  if (world.rememberedAnswers.has(edit.request as never)) return undefined;
  if (edit.expectedRevision > settings.revision) {
    return refuse(RefusalKind.StaleConfiguration, 'The revision is not known here yet.');
  }
  if (edit.expectedRevision < settings.revision) {
    const detail = `The edit was made from revision ${edit.expectedRevision}, and ${settings.revision} is in force.`;
    return rejectionResponse(
      createSettingsRejection(SettingsRejectionKind.RevisionMismatch, detail),
    );
  }
  return applyPathChange(settings.tree, edit).match(() => undefined, rejectionResponse);
};

const listKeys = (world: World) =>
  [...world.keys.rows()].map(({ workspace, name, withdrawn }) => ({ workspace, name, withdrawn }));

/** Creates the routes of operators. */
export const createOperatorRoutes = (
  world: World,
  editPort: EditPort,
  clock: Clock,
): Hono<RouteEnvironment> => {
  const routes = new Hono<RouteEnvironment>();

  const onGet = (path: string, respond: (context: RouteContext) => Response): void => {
    routes.get(path, (context) =>
      operatorOf(world, context).match(
        () => respond(context),
        (response) => response,
      ),
    );
  };

  const onPost = <Body>(
    path: string,
    schema: z.ZodType<Body>,
    respond: (body: Body, operator: string) => Promise<Response>,
  ): void => {
    routes.post(path, async (context) => {
      const operator = operatorOf(world, context);
      if (operator.isErr()) return operator.error;
      if (!hasFreshSettings(world, clock())) return refuse(RefusalKind.StaleConfiguration);
      const body = await decode(context, schema);
      return body.isErr() ? body.error : respond(body.value, operator.value);
    });
  };

  const proposeWithKey = async (
    createCommand: (digest: string) => EditCommand,
  ): Promise<Response> => {
    const key = createKey();
    const digest = computeKeyDigest(key);
    return outcomeResponse(await editPort.edit(createCommand(digest)), { key, digest });
  };

  onGet(OperatorPath.Tree, (context) => {
    const { revision, tree } = settingsOf(world);
    const path = context.req.query('path') ?? '';
    return readAt(tree, path).match(
      (value) => Response.json({ revision, path, value }),
      ({ at }) =>
        rejectionResponse(
          createSettingsRejection(
            SettingsRejectionKind.UnknownPath,
            `Nothing stands at \`${at}\`.`,
          ),
        ),
    );
  });
  onGet(OperatorPath.Explain, (context) => {
    const { revision, tree } = settingsOf(world);
    const path = context.req.query('path') ?? '';
    return explainSetting(tree, path, context.req.query('service')).match(
      (levels) => Response.json({ revision, path, levels }),
      rejectionResponse,
    );
  });
  onGet(OperatorPath.History, (context) => {
    const last = Number(context.req.query('last') ?? defaultHistoryRows);
    const rows = [...world.settingsHistory.rows()];
    return Response.json({ edits: rows.slice(-Math.max(1, last || defaultHistoryRows)) });
  });
  onGet(OperatorPath.Keys, () => Response.json({ keys: listKeys(world) }));
  onGet(OperatorPath.Members, () => Response.json({ members: listMembers(world, clock()) }));
  onGet(OperatorPath.Status, () => Response.json(computeStatus(world, clock())));

  onPost(OperatorPath.Tree, treeEditSchema, async (edit, operator) => {
    const refused = precheck(world, edit);
    if (refused !== undefined) return refused;
    const content = contentOf(edit);
    return outcomeResponse(await editPort.edit({ kind: 'treeSet', ...edit, operator, content }));
  });
  onPost(OperatorPath.Keys, keyReferenceSchema, (place, operator) =>
    proposeWithKey((digest) => {
      const content = contentOf([place, digest]);
      return { kind: 'keyIssue', ...place, operator, digest, content };
    }),
  );
  onPost(OperatorPath.KeyRotations, keyRotationSchema, (rotation, operator) =>
    proposeWithKey((digest) => {
      const content = contentOf([rotation, digest]);
      return { kind: 'keyRotate', ...rotation, operator, digest, content };
    }),
  );
  onPost(OperatorPath.KeyWithdrawals, keyReferenceSchema, async (place, operator) => {
    const content = contentOf(place);
    return outcomeResponse(
      await editPort.edit({ kind: 'keyWithdraw', ...place, operator, content }),
    );
  });
  return routes;
};
