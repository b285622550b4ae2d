/**
 * The HTTP routes of the model engine stand-in.
 */
import { Hono, type Context } from 'hono';
import {
  attemptHeader,
  chatCompletionsPath,
  completionsPath,
  engineStatePath,
  ordersPath,
  orderSchema,
} from '../../src/service/protocol/common/engineProtocol.js';
import { parseJson } from '../common/json.js';
import {
  answeredOnSocket,
  cutConnection,
  type HttpAnswer,
  type StandInEnvironment,
} from '../common/httpListener.js';
import { FaultScope, type FaultScript } from '../faults/faultScript.js';
import { planOf } from '../faults/faults.js';
import { requestBodySchema } from './engineEncoding.js';
import type { EngineIntake } from './engineIntake.js';
import type { EnginePort } from './enginePort.js';
import type { EngineOrders } from './engineOrders.js';

/** Dependencies of the routes. */
export interface EngineRouteDependencies {
  readonly intake: EngineIntake;
  readonly port: EnginePort;
  readonly orders: EngineOrders;
  readonly script: FaultScript;
  /** Schedules a tick. */
  readonly wake: () => void;
}

const sendBadRequest = (context: Context, message: string): HttpAnswer =>
  context.json({ error: { kind: 'badRequest', message } }, 400);

const orderStatuses = { done: 200, olderFencing: 409 } as const;

/** Creates the HTTP application. */
export const createEngineRoutes = (
  dependencies: EngineRouteDependencies,
): Hono<StandInEnvironment> => {
  const application = new Hono<StandInEnvironment>();
  let orderNumber = 0;

  const handleCompletion = async (context: Context<StandInEnvironment>): Promise<HttpAnswer> => {
    const text = await context.req.text();
    const body = requestBodySchema.safeParse(parseJson(text));
    if (!body.success)
      return sendBadRequest(
        context,
        'The request body is invalid; send a JSON body with a model and a prompt.',
      );
    const { path } = context.req;
    const id = dependencies.intake.handleRequest({
      path,
      headers: context.req.header(),
      text,
      body: body.data,
    });
    const response = context.env.outgoing;
    dependencies.port.open(id, response);
    response.once('close', () => dependencies.intake.cancel(id));
    return answeredOnSocket;
  };

  application.use(async (context, next) => {
    const attempt = context.req.header(attemptHeader);
    if (attempt !== undefined) {
      context.header(attemptHeader, attempt);
      context.env.outgoing.setHeader(attemptHeader, attempt);
    }
    await next();
  });
  application.post(chatCompletionsPath, handleCompletion);
  application.post(completionsPath, handleCompletion);
  application.get(engineStatePath, (context) => context.json(dependencies.orders.state()));
  application.post(ordersPath, async (context) => {
    const order = orderSchema.safeParse(parseJson(await context.req.text()));
    if (!order.success)
      return sendBadRequest(context, `The order is invalid; correct it: ${order.error.message}`);
    orderNumber += 1;
    const fault = dependencies.script.takeFault(FaultScope.Order, orderNumber, order.data.order);
    const outcome = dependencies.orders.handleOrder(order.data);
    dependencies.wake();
    if (planOf(fault).losesAnswer) return cutConnection(context.env);
    return context.json(outcome, orderStatuses[outcome.kind]);
  });
  return application;
};
