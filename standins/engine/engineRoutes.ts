/**
 * The HTTP routes of the model engine stand-in.
 */
import { Hono, type Context } from 'hono';
import {
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

/** What the routes call. */
export interface EngineRouteHandlers {
  readonly intake: EngineIntake;
  readonly port: EnginePort;
  readonly orders: EngineOrders;
  readonly script: FaultScript;
  /** Asks for a tick. */
  readonly wake: () => void;
}

const refuseBody = (context: Context, message: string): HttpAnswer =>
  context.json({ error: { kind: 'badRequest', message } }, 400);

const orderStatuses = { done: 200, olderFencing: 409 } as const;

/** Creates the application. */
export const createEngineRoutes = (handlers: EngineRouteHandlers): Hono<StandInEnvironment> => {
  const application = new Hono<StandInEnvironment>();
  let orderNumber = 0;

  const generate = async (context: Context<StandInEnvironment>): Promise<HttpAnswer> => {
    const text = await context.req.text();
    const body = requestBodySchema.safeParse(parseJson(text));
    if (!body.success) return refuseBody(context, 'Send a JSON body with a model and a prompt.');
    const { path } = context.req;
    const id = handlers.intake.receive({
      path,
      headers: context.req.header(),
      text,
      body: body.data,
    });
    const response = context.env.outgoing;
    handlers.port.open(id, response);
    response.once('close', () => handlers.intake.cancel(id));
    return answeredOnSocket;
  };

  application.post(chatCompletionsPath, generate);
  application.post(completionsPath, generate);
  application.get(engineStatePath, (context) => context.json(handlers.orders.state()));
  application.post(ordersPath, async (context) => {
    const order = orderSchema.safeParse(parseJson(await context.req.text()));
    if (!order.success) return refuseBody(context, `Mend the order: ${order.error.message}`);
    orderNumber += 1;
    const fault = handlers.script.take(FaultScope.Order, orderNumber, order.data.order);
    const outcome = handlers.orders.take(order.data);
    handlers.wake();
    if (planOf(fault).losesAnswer) return cutConnection(context.env);
    return context.json(outcome, orderStatuses[outcome.kind]);
  });
  return application;
};
