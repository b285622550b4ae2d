/**
 * The port of runs: sends items to the engines that systems have chosen and reads their texts. A run that
 * a system ends or moves has its connection cut, by which its engine drops it.
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
import { createTextStream } from './textEventReader.js';

export interface RunPort extends Disposable {
  readonly drain: () => void;
}

interface OpenRun {
  readonly start: number;
  readonly connection: Disposable;
}

type Report = (fact: RunFact) => void;

/** Progress is reported at most this often. */
const progressMilliseconds = 200;

/** Creates the port. */
export const createRunPort = (
  world: World,
  client: UpstreamClient,
  dialect: UpstreamDialect,
  clock: Clock,
  wake: () => void,
): RunPort => {
  const open = new Map<ItemId, OpenRun>();
  const changes = world.runs.createChangeReader(RowReader.Port);

  const report: Report = (fact) => {
    world.runFacts.append(fact);
    wake();
  };

  const readText = (run: RunRow, head: ResponseHead, response: IncomingMessage): void => {
    const { id: item, start } = run;
    const stream = createTextStream(
      run.events,
      dialect.readWeightVersion(head),
      dialect.weightVersionField,
    );
    let isOver = false;
    let reportedAt = clock();

    const end = (isWhole: boolean, reason: string): void => {
      if (isOver) return;
      isOver = true;
      const came = { item, start, ...stream.take() };
      if (isWhole && stream.isInOrder()) report({ kind: 'whole', ...came });
      else report({ kind: 'broken', ...came, reason });
    };

    response.on('data', (chunk: Buffer) => {
      stream.push(chunk);
      if (clock() - reportedAt < progressMilliseconds) return;
      reportedAt = clock();
      report({ kind: 'progress', item, start, ...stream.take() });
    });
    response.on('error', (error) => end(false, error.message));
    response.on('close', () => end(false, 'closed early'));
    response.on('end', () => end(response.complete, 'events out of order'));
  };

  /** Reads the rest of an answer that carries no text, so that its connection can be used again. */
  const readRest = (response: IncomingMessage): void => {
    response.on('error', () => response.destroy());
    response.resume();
  };

  const meanings: Readonly<
    Record<ResponseClass, (run: RunRow, head: ResponseHead, response: IncomingMessage) => void>
  > = {
    ran: readText,
    notRun: ({ id: item, start }, head, response) => {
      readRest(response);
      report({ kind: 'notRun', item, start, reason: `status ${head.status}` });
    },
    failed: ({ id: item, start }, _, response) => {
      readRest(response);
      report({ kind: 'failed', item, start });
    },
    impossible: ({ id: item, start }, _, response) => {
      readRest(response);
      report({ kind: 'impossible', item, start });
    },
    foreign: ({ id: item, start }, head, response) => {
      response.destroy();
      const reason = `foreign answer with status ${head.status}`;
      report({ kind: 'broken', item, start, text: [], versions: [], reason });
    },
  };

  const begin = (run: RunRow): void => {
    const { id: item, start } = run;
    const body = world.jobItems.get(item);
    const job = world.jobs.get(run.job);
    const upstream = world.registrations.get(run.upstream!);
    if (body === undefined || job === undefined || upstream === undefined) {
      report({ kind: 'notRun', item, start, reason: 'upstream gone' });
      return;
    }
    const headers = dialect.createHeaders({
      host: job.host,
      requestId: body.item,
      upstream: upstream.id,
      workspace: job.workspace,
      remaining: Number.isFinite(run.lifetimeDeadline)
        ? remainingUntil(run.lifetimeDeadline, clock())
        : null,
      lastEventId: run.events === 0 ? null : String(run.events),
      expectedVersion: run.expectedVersion,
    });
    const content = { method: 'POST', path: body.path, headers: body.headers, body: body.body };
    const connection = client.send(
      { address: upstream.address, content, headers },
      {
        onDidReceiveResponse: (response) => {
          const head = { status: response.statusCode ?? 0, headers: readHeaders(response) };
          meanings[dialect.classifyResponse(head, body.item)](run, head, response);
        },
        onDidFail: (reason, isNotRun) =>
          report(
            isNotRun
              ? { kind: 'notRun', item, start, reason }
              : { kind: 'broken', item, start, text: [], versions: [], reason },
          ),
      },
    );
    open.set(item, { start, connection });
  };

  const follow = (id: ItemId): void => {
    const run = world.runs.get(id);
    const known = open.get(id);
    const isRunning = run?.state === RunState.Running;
    if (known !== undefined && (!isRunning || run.start !== known.start)) {
      open.delete(id);
      known.connection.dispose();
    }
    if (isRunning && run.start !== known?.start) begin(run);
  };

  return {
    drain: () => changes.take().forEach(follow),
    dispose: () => {
      changes.dispose();
      open.forEach(({ connection }) => connection.dispose());
    },
  };
};
