/**
 * A weight store stand-in: serves deterministic bytes for any service and version at a rate shared
 * by all downloads. In its fault scripts, token counts refer to chunks.
 */
import { Hono } from 'hono';
import { asBrand } from '../../src/base/common/brand.js';
import { deadlineAfter, millisecondsPerSecond, type Instant } from '../../src/base/common/time.js';
import { monotonicClock } from '../../src/base/node/monotonicClock.js';
import type { System } from '../../src/infrastructure/tables/common/tick.js';
import { weightsPath } from '../../src/service/protocol/common/platformProtocol.js';
import { answeredOnSocket, listen, type StandInEnvironment } from '../common/httpListener.js';
import { startLoop } from '../common/nodeLoop.js';
import { createFaultScript, FaultScope, type FaultScriptEntry } from '../faults/faultScript.js';
import { planOf } from '../faults/faults.js';
import {
  createDownloadTable,
  DownloadState,
  type DownloadRow,
  type DownloadTable,
} from './weightStoreTables.js';

/** Settings of a weight store stand-in. */
export interface WeightStoreSettings {
  /** Port to listen on; 0 selects a free port. */
  readonly port: number;
  /** Size of one weight version in bytes. */
  readonly size: number;
  /** Size of one chunk in bytes. */
  readonly chunkSize: number;
  /** Bytes per second, over all downloads. */
  readonly rate: number;
  readonly faults: readonly FaultScriptEntry[];
}

const defaultWeightStoreSettings: WeightStoreSettings = {
  port: 0,
  size: 65_536,
  chunkSize: 16_384,
  rate: 16_777_216,
  faults: [],
};

/** A running weight store stand-in. */
export interface WeightStoreStandIn {
  /** Base address. */
  readonly address: string;
  readonly counters: () => Readonly<Record<DownloadState, number>> & { readonly bytesSent: number };
  readonly downloads: () => readonly DownloadRow[];
  readonly addFault: (entry: FaultScriptEntry) => void;
  readonly dispose: () => Promise<void>;
}

const byteValueCount = 256;

/** The bytes of a version from offset `from` up to, but not including, `to`. */
export const weightBytes = (version: string, from: number, to: number): Uint8Array =>
  Uint8Array.from(
    { length: to - from },
    (_, index) => (from + index + version.length) % byteValueCount,
  );

type Outgoing = StandInEnvironment['Bindings']['outgoing'];

/** Creates the system that sends the due chunks of all downloads at the shared rate. */
const createSendSystem = (
  settings: WeightStoreSettings,
  downloads: DownloadTable,
  responses: ReadonlyMap<DownloadRow['id'], Outgoing>,
): System => {
  let nextSendInstant: Instant = 0;

  const endDownload = (row: DownloadRow, state: DownloadState): void => {
    downloads.change(row.id, { state });
  };

  const sendChunk = (row: DownloadRow, now: Instant, outgoing: Outgoing): void => {
    const bytesSent = Math.min(settings.size, row.bytesSent + settings.chunkSize);
    const chunk = weightBytes(row.version, row.bytesSent, bytesSent);
    const sendMilliseconds = (chunk.length / settings.rate) * millisecondsPerSecond;
    nextSendInstant = Math.max(nextSendInstant, now) + sendMilliseconds;
    outgoing.write(chunk);
    const chunkDeadline = nextSendInstant;
    downloads.change(row.id, { bytesSent, chunksSent: row.chunksSent + 1, chunkDeadline });
  };

  const processDownload = (row: DownloadRow, now: Instant): void => {
    const outgoing = responses.get(row.id);
    if (outgoing === undefined) return;
    if (row.chunksSent >= row.plan.cutAfterTokens) {
      endDownload(row, DownloadState.Crashed);
      outgoing.socket?.destroy();
    } else if (row.chunksSent >= row.plan.silentAfterTokens) {
      endDownload(row, DownloadState.Silent);
    } else if (row.bytesSent >= settings.size) {
      endDownload(row, DownloadState.Finished);
      outgoing.end();
    } else {
      sendChunk(row, now, outgoing);
    }
  };

  return {
    name: 'sending',
    run: (now) => downloads.takeDue('chunk', now).forEach((row) => processDownload(row, now)),
  };
};

/** Starts a weight store stand-in. */
export const startWeightStore = async (
  overrides: Partial<WeightStoreSettings> = {},
): Promise<WeightStoreStandIn> => {
  const settings: WeightStoreSettings = { ...defaultWeightStoreSettings, ...overrides };
  const downloads = createDownloadTable();
  const script = createFaultScript(settings.faults);
  const responses = new Map<DownloadRow['id'], Outgoing>();
  const loop = startLoop([downloads], [createSendSystem(settings, downloads, responses)]);

  const handleClose = (id: DownloadRow['id']): void => {
    responses.delete(id);
    const isCancelled = downloads.get(id)?.state === DownloadState.Sending;
    if (isCancelled) downloads.change(id, { state: DownloadState.Cancelled });
  };

  const application = new Hono<StandInEnvironment>();
  application.get(`${weightsPath}/:service/:version`, (context) => {
    const { service, version } = context.req.param();
    const { outgoing } = context.env;
    const number = downloads.size() + 1;
    const id: DownloadRow['id'] = asBrand(String(number));
    const plan = planOf(script.takeFault(FaultScope.Request, number, context.req.path));
    responses.set(id, outgoing);
    outgoing.once('close', () => handleClose(id));
    downloads.put({
      id,
      service,
      version,
      plan,
      state: DownloadState.Sending,
      bytesSent: 0,
      chunksSent: 0,
      chunkDeadline: deadlineAfter(monotonicClock(), plan.lateness),
    });
    loop.wake();
    return answeredOnSocket;
  });
  const listener = await listen(application, settings.port);

  const countInState = (state: DownloadState): number => downloads.count('state', state);

  return {
    address: listener.address,
    counters: () => ({
      sending: countInState(DownloadState.Sending),
      finished: countInState(DownloadState.Finished),
      cancelled: countInState(DownloadState.Cancelled),
      crashed: countInState(DownloadState.Crashed),
      silent: countInState(DownloadState.Silent),
      bytesSent: [...downloads.rows()].reduce((sum, row) => sum + row.bytesSent, 0),
    }),
    downloads: () => [...downloads.rows()],
    addFault: script.add,
    dispose: async () => {
      loop.dispose();
      await listener.dispose();
    },
  };
};
