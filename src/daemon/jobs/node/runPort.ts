/**
 * Port of runs: sends items to the engines that systems have selected and reads the generated text.
 * If a system ends or moves a run, the port closes its connection, which makes the engine drop the
 * run.
 */
import type { IncomingMessage } from 'node:http';
import type { Disposable } from '../../../base/common/disposable.js';
import { remainingUntil, type Clock } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import {
  RunState,
  type ItemId,
  type RunFact,
  type RunRow,
} from '../../../service/jobs/common/jobTables.js';
import type { World } from '../../../service/world/common/world.js';
import { readHeaders, type UpstreamClient } from '../../forwarding/node/upstreamClient.js';
import {
  ResponseClass,
  type ResponseHead,
  type UpstreamDialect,
} from '../../forwarding/node/upstreamDialect.js';
import { createTextEventReader } from './textEventReader.js';

/** Sends runs to engines; `drain` runs after each tick. */
export interface RunPort extends Disposable {
  readonly drain: () => void;
}

interface OpenRun {
  readonly start: number;
  readonly connection: Disposable;
}

type Report = (fact: RunFact) => void;

/** Minimum interval between two progress reports of a run. */
const progressIntervalMilliseconds = 200;

/** Creates the port. `wake` requests a tick. */
export const createRunPort = (
  world: World,
  client: UpstreamClient,
  dialect: UpstreamDialect,
  clock: Clock,
  wake: () => void,
): RunPort => {
  const openRuns = new Map<ItemId, OpenRun>();
  const changes = world.runs.createChangeReader(RowReader.Port);

  const report: Report = (fact) => {
    world.runFacts.append(fact);
    wake();
  };

  const readText = (run: RunRow, head: ResponseHead, response: IncomingMessage): void => {
    const { id: item, start } = run;
    const reader = createTextEventReader(
      run.events,
      dialect.readWeightVersion(head),
      dialect.weightVersionField,
    );
    let isFinished = false;
    let reportedAt = clock();

    const finish = (isComplete: boolean, reason: string): void => {
      if (isFinished) return;
      isFinished = true;
      const received = { item, start, ...reader.take() };
      if (isComplete && reader.isInOrder()) report({ kind: 'whole', ...received });
      else report({ kind: 'broken', ...received, reason });
    };

    response.on('data', (chunk: Buffer) => {
      reader.push(chunk);
      if (!reader.isWithinLimits()) {
        finish(false, 'event or text exceeds its maximum size');
        response.destroy();
        return;
      }
      // Bytes without a complete event are no progress, or a stalled engine could keep a run.
      if (!reader.hasEvents() || clock() - reportedAt < progressIntervalMilliseconds) return;
      reportedAt = clock();
      report({ kind: 'progress', item, start, ...reader.take() });
    });
    response.on('error', (error) => finish(false, error.message));
    response.on('close', () => finish(false, 'connection closed before the end of the text'));
    response.on('end', () =>
      finish(response.complete, 'incomplete response or events out of order'),
    );
  };

  /** Discards the body of a response without text, so that its connection can be reused. */
  const discardBody = (response: IncomingMessage): void => {
    response.on('error', () => response.destroy());
    response.resume();
  };

  const responseHandlers: Readonly<
    Record<ResponseClass, (run: RunRow, head: ResponseHead, response: IncomingMessage) => void>
  > = {
    ran: readText,
    notRun: ({ id: item, start }, head, response) => {
      discardBody(response);
      report({ kind: 'notRun', item, start, reason: `status ${head.status}` });
    },
    failed: ({ id: item, start }, _, response) => {
      discardBody(response);
      report({ kind: 'failed', item, start });
    },
    impossible: ({ id: item, start }, _, response) => {
      discardBody(response);
      report({ kind: 'impossible', item, start });
    },
    foreign: ({ id: item, start }, head, response) => {
      response.destroy();
      const reason = `response with status ${head.status} does not belong to the request`;
      report({ kind: 'broken', item, start, text: [], versions: [], reason });
    },
  };

  const startRun = (run: RunRow): void => {
    const { id: item, start } = run;
    const jobItem = world.jobItems.get(item);
    const job = world.jobs.get(run.job);
    const upstream = world.registrations.get(run.upstream!);
    if (jobItem === undefined || job === undefined || upstream === undefined) {
      report({ kind: 'notRun', item, start, reason: 'item, job or upstream no longer exists' });
      return;
    }
    const headers = dialect.createHeaders({
      host: job.host,
      requestId: jobItem.item,
      upstream: upstream.id,
      workspace: job.workspace,
      remaining: Number.isFinite(run.lifetimeDeadline)
        ? remainingUntil(run.lifetimeDeadline, clock())
        : null,
      lastEventId: run.events === 0 ? null : String(run.events),
      expectedVersion: run.expectedVersion,
    });
    const content = {
      method: 'POST',
      path: jobItem.path,
      headers: jobItem.headers,
      body: jobItem.body,
    };
    const connection = client.send(
      { address: upstream.address, content, headers },
      {
        onDidReceiveResponse: (response) => {
          const head = { status: response.statusCode ?? 0, headers: readHeaders(response) };
          const responseClass = dialect.classifyResponse(head, jobItem.item);
          if (responseClass !== ResponseClass.Foreign && dialect.isLeaving(head)) {
            world.leavingFacts.append({ upstream: upstream.id, startedAt: upstream.startedAt });
            wake();
          }
          responseHandlers[responseClass](run, head, response);
        },
        onDidFail: (reason, isNotRun) =>
          report(
            isNotRun
              ? { kind: 'notRun', item, start, reason }
              : { kind: 'broken', item, start, text: [], versions: [], reason },
          ),
      },
    );
    openRuns.set(item, { start, connection });
  };

  const handleChange = (id: ItemId): void => {
    const run = world.runs.get(id);
    const openRun = openRuns.get(id);
    const isRunning = run?.state === RunState.Running;
    if (openRun !== undefined && (!isRunning || run.start !== openRun.start)) {
      openRuns.delete(id);
      openRun.connection.dispose();
    }
    if (isRunning && run.start !== openRun?.start) startRun(run);
  };

  return {
    drain: () => changes.take().forEach(handleChange),
    dispose: () => {
      changes.dispose();
      openRuns.forEach(({ connection }) => connection.dispose());
    },
  };
};
