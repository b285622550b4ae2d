/**
 * Port of runs: sends items to the engines that systems have selected and reads the generated text.
 * If a system ends or moves a run, the port closes its connection, which makes the engine drop the
 * run.
 */
import type { IncomingMessage } from 'node:http';
import type { Disposable } from '../../../base/common/disposable.js';
import { remainingUntil, type Clock } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { findItemBody } from '../../../service/jobs/common/jobContents.js';
import {
  RunState,
  type ItemId,
  type RunFact,
  type RunRow,
} from '../../../service/jobs/common/jobTables.js';
import { maximumEventsOf } from '../../../service/jobs/common/outputLimit.js';
import type { World } from '../../../service/world/common/world.js';
import { discardBody } from '../../forwarding/node/discardBody.js';
import { createNamedSender, type OwnedClass } from '../../forwarding/node/ownedAnswers.js';
import { isDelimitedResponse, type UpstreamClient } from '../../forwarding/node/upstreamClient.js';
import type { ResponseHead, UpstreamDialect } from '../../forwarding/node/upstreamDialect.js';
import { createTextEventReader, type TextPart } from './textEventReader.js';

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

type TextEnd = 'whole' | 'unconfirmed' | 'inconclusive' | 'excessive' | 'broken';

interface ReceivedText extends TextPart {
  readonly item: ItemId;
  readonly start: number;
}

const createEndFact: Readonly<
  Record<TextEnd, (received: ReceivedText, reason: string) => RunFact>
> = {
  whole: (received) => ({ kind: 'whole', ...received }),
  unconfirmed: (received) => ({ kind: 'unconfirmed', ...received }),
  inconclusive: ({ item, start }, reason) => ({ kind: 'inconclusive', item, start, reason }),
  excessive: ({ item, start }, reason) => ({ kind: 'excessive', item, start, reason }),
  broken: (received, reason) => ({ kind: 'broken', ...received, reason }),
};

/**
 * Creates the port. `wake` requests a tick, and `wakeSoon` one for reports of progress, which are most
 * of all reports and on which nothing waits.
 */
export const createRunPort = (
  world: World,
  client: UpstreamClient,
  dialect: UpstreamDialect,
  clock: Clock,
  wake: () => void,
  wakeSoon: () => void = wake,
): RunPort => {
  const openRuns = new Map<ItemId, OpenRun>();
  const sendNamed = createNamedSender(world, client, dialect, 'run', wake);
  const changes = world.runs.createChangeReader(RowReader.Port);

  const report: Report = (fact) => {
    world.runFacts.append(fact);
    wake();
  };

  const readText = (run: RunRow, head: ResponseHead, response: IncomingMessage): void => {
    const { id: item, start } = run;
    const jobItem = world.jobItems.get(item);
    const reader = createTextEventReader({
      previousEventCount: run.events,
      maximumEventCount: jobItem === undefined ? run.events : maximumEventsOf(jobItem),
      initialVersion: dialect.readWeightVersion(head),
      weightVersionField: dialect.weightVersionField,
    });
    let isFinished = false;
    let reportedAt = clock();

    const finish = (kind: TextEnd, reason: string): void => {
      if (isFinished) return;
      isFinished = true;
      report(createEndFact[kind]({ item, start, ...reader.take() }, reason));
    };

    /** A text that has no event, or stops within one, isn't whole however its response ended. */
    const classifyEnd = (): TextEnd => {
      const isUnbroken = response.complete && reader.isInOrder() && reader.isBetweenEvents();
      if (!isUnbroken) return 'broken';
      if (reader.eventCount() === 0) return 'inconclusive';
      return isDelimitedResponse(head) ? 'whole' : 'unconfirmed';
    };

    response.on('data', (chunk: Buffer) => {
      reader.push(chunk);
      if (!reader.isWithinLimits()) {
        finish('excessive', 'response exceeds the events or bytes that the item can have');
        response.destroy();
        return;
      }
      // Bytes without a complete event are no progress, or a stalled engine could keep a run.
      if (!reader.hasEvents() || clock() - reportedAt < progressIntervalMilliseconds) return;
      reportedAt = clock();
      world.runFacts.append({ kind: 'progress', item, start, ...reader.take() });
      wakeSoon();
    });
    response.on('error', (error) => finish('broken', error.message));
    response.on('close', () => finish('broken', 'connection closed before the end of the text'));
    response.on('end', () => finish(classifyEnd(), 'incomplete response, or no events in order'));
  };

  const responseHandlers: Readonly<
    Record<OwnedClass, (run: RunRow, head: ResponseHead, response: IncomingMessage) => void>
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
    inconclusive: ({ id: item, start }, { status }, response) => {
      discardBody(response);
      report({ kind: 'inconclusive', item, start, reason: `status ${status}` });
    },
    impossible: ({ id: item, start }, _, response) => {
      discardBody(response);
      report({ kind: 'impossible', item, start });
    },
  };

  const startRun = (run: RunRow): void => {
    const { id: item, start } = run;
    const jobItem = world.jobItems.get(item);
    const job = world.jobs.get(run.job);
    const upstream = world.registrations.get(run.upstream!);
    const body = jobItem === undefined ? undefined : findItemBody(world, jobItem);
    if (
      jobItem === undefined ||
      job === undefined ||
      upstream === undefined ||
      body === undefined
    ) {
      const reason = 'item, job or upstream no longer exists, or the body of the item is not here';
      report({ kind: 'notRun', item, start, reason });
      return;
    }
    // The process may have been suspended since the permit was taken.
    if (clock() >= run.permitDeadline) {
      report({ kind: 'notRun', item, start, reason: 'permit for the cold upstream expired' });
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
      body,
    };
    const connection = sendNamed(
      {
        address: upstream.address,
        content,
        headers,
        requestId: jobItem.item,
        start: { upstream: upstream.id, startedAt: upstream.startedAt },
      },
      {
        onDidReceiveResponse: (response) =>
          responseHandlers[response.class](run, response.head, response.message),
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
