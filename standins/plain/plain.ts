/**
 * A plain service stand-in over loopback HTTP. It echoes each call and counts how often each
 * request id ran. A call counts as run when it arrives, even if its answer is late, lost or never
 * sent.
 */
import { Hono } from 'hono';
import { asBrand } from '../../src/base/common/brand.js';
import { deadlineAfter, never } from '../../src/base/common/time.js';
import { monotonicClock } from '../../src/base/node/monotonicClock.js';
import type { System } from '../../src/infrastructure/tables/common/tick.js';
import {
  engineRefusalHeader,
  engineRefusalStatus,
} from '../../src/service/protocol/common/engineProtocol.js';
import { UpstreamKind, UpstreamState } from '../../src/service/protocol/common/upstreamProtocol.js';
import { createAnnouncer, type AnnouncementCounter } from '../announcing/announcer.js';
import { answeredOnSocket, listen, type StandInEnvironment } from '../common/httpListener.js';
import { startLoop } from '../common/nodeLoop.js';
import { createFaultScript, FaultScope, type FaultScriptEntry } from '../faults/faultScript.js';
import { planOf, type FaultPlan } from '../faults/faults.js';
import { CallState, createCallTable, type CallId, type PlainCallRow } from './plainTables.js';

/** Settings of a plain service stand-in. */
export interface PlainSettings {
  /** Port to listen on; 0 selects a free port. */
  readonly port: number;
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  readonly incarnation: number;
  readonly slots: number;
  readonly isReclaimable: boolean;
  /** Milliseconds for which an announcement is valid. */
  readonly announcementLifetime: number;
  readonly faults: readonly FaultScriptEntry[];
}

const defaultPlainSettings: PlainSettings = {
  port: 0,
  name: 'plain',
  service: 'yard',
  zone: 'zone',
  incarnation: 1,
  slots: 64,
  isReclaimable: false,
  announcementLifetime: 3000,
  faults: [],
};

/** A running plain service stand-in. */
export interface PlainStandIn {
  /** Base address. */
  readonly address: string;
  readonly counters: () => Readonly<Record<AnnouncementCounter | 'received' | 'ran', number>>;
  /** The received calls, oldest first. */
  readonly calls: () => readonly PlainCallRow[];
  /** The number of calls with this `x-request-id` that ran. */
  readonly runsOf: (requestId: string) => number;
  readonly addFault: (entry: FaultScriptEntry) => void;
  /** Announces the service to the entries with these base addresses until it is disposed of. */
  readonly announceTo: (addresses: readonly string[]) => void;
  /** Starts draining and announces it immediately. */
  readonly drain: () => void;
  readonly dispose: () => Promise<void>;
}

/** The header with the request id of the caller. */
export const requestIdHeader = 'x-request-id';

const initialStateOf = (plan: FaultPlan): CallState => {
  if (plan.refuses) return CallState.Refused;
  if (plan.cutAfterTokens !== Number.POSITIVE_INFINITY) return CallState.Crashed;
  if (plan.silentAfterTokens !== Number.POSITIVE_INFINITY) return CallState.Silent;
  return CallState.Running;
};

type Outgoing = StandInEnvironment['Bindings']['outgoing'];

const echoOf = ({ method, path, headers, body }: PlainCallRow): string =>
  JSON.stringify({ method, path, headers, body });

const writeAnswer = (outgoing: Outgoing, row: PlainCallRow): void => {
  outgoing.writeHead(200, { 'content-type': 'application/json' });
  outgoing.end(echoOf(row));
};

const arrivalHandlers: Readonly<Record<CallState, (outgoing: Outgoing) => void>> = {
  running: () => undefined,
  answered: () => undefined,
  closed: () => undefined,
  silent: () => undefined,
  crashed: (outgoing) => outgoing.socket?.destroy(),
  refused: (outgoing) => {
    outgoing.writeHead(engineRefusalStatus, { [engineRefusalHeader]: 'true' });
    outgoing.end();
  },
};

/** Starts a plain service stand-in. */
export const startPlain = async (overrides: Partial<PlainSettings> = {}): Promise<PlainStandIn> => {
  const settings: PlainSettings = { ...defaultPlainSettings, ...overrides };
  const calls = createCallTable();
  const script = createFaultScript(settings.faults);
  const responses = new Map<CallId, Outgoing>();
  let state: UpstreamState = UpstreamState.Serving;

  const sendAnswer = (row: PlainCallRow): void => {
    const outgoing = responses.get(row.id);
    const isOpen = outgoing !== undefined;
    calls.change(row.id, { state: isOpen ? CallState.Answered : CallState.Closed });
    if (isOpen) writeAnswer(outgoing, row);
  };

  const answerSystem: System = {
    name: 'answering',
    run: (now) => calls.takeDue('answer', now).forEach(sendAnswer),
  };
  const loop = startLoop([calls], [answerSystem]);

  const application = new Hono<StandInEnvironment>();
  application.all('*', async (context) => {
    const { outgoing } = context.env;
    const body = await context.req.text();
    const path = context.env.incoming.url ?? '/';
    const id: CallId = asBrand(String(calls.size() + 1));
    const plan = planOf(script.takeFault(FaultScope.Request, calls.size() + 1, path));
    const callState = initialStateOf(plan);
    const isAnswered = callState === CallState.Running;
    responses.set(id, outgoing);
    outgoing.once('close', () => responses.delete(id));
    calls.put({
      id,
      requestId: context.req.header(requestIdHeader),
      method: context.req.method,
      path,
      headers: context.req.header(),
      body,
      plan,
      state: callState,
      answerDeadline: isAnswered ? deadlineAfter(monotonicClock(), plan.lateness) : never,
    });
    arrivalHandlers[callState](outgoing);
    loop.wake();
    return answeredOnSocket;
  });
  const listener = await listen(application, settings.port);

  const announcer = createAnnouncer(
    () => ({
      upstream: settings.name,
      kind: UpstreamKind.Plain,
      service: settings.service,
      address: listener.address,
      zone: settings.zone,
      incarnation: settings.incarnation,
      state,
      models: [],
      adapters: [],
      weightVersion: null,
      reclaimable: settings.isReclaimable,
      checksFencing: false,
      resumesStreams: false,
      slots: settings.slots,
      running: responses.size,
      remaining: settings.announcementLifetime,
    }),
    settings.announcementLifetime,
  );

  const countRuns = (rows: readonly PlainCallRow[]): number =>
    rows.filter((row) => row.state !== CallState.Refused).length;

  return {
    address: listener.address,
    counters: () => ({
      ...announcer.counters(),
      received: calls.size(),
      ran: countRuns([...calls.rows()]),
    }),
    calls: () => [...calls.rows()],
    runsOf: (requestId) => countRuns(calls.where('requestId', requestId)),
    addFault: script.add,
    announceTo: announcer.announceTo,
    drain: () => {
      state = UpstreamState.Draining;
      announcer.announceNow();
    },
    dispose: async () => {
      await announcer.dispose();
      loop.dispose();
      await listener.dispose();
    },
  };
};
