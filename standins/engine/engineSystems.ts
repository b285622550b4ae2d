/**
 * The systems of the model engine stand-in: they assign slots to requests, generate tokens at their
 * deadlines and remove old requests.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { deadlineAfter, type Instant } from '../../src/base/common/time.js';
import type { System } from '../../src/infrastructure/tables/common/tick.js';
import type { Counters } from '../common/counters.js';
import type { EngineCounter, EngineSettings } from './engineSettings.js';
import {
  OutputKind,
  RequestState,
  runningStates,
  type EngineCondition,
  type EngineOutputRow,
  type EngineRequestRow,
  type OutputTable,
  type RequestId,
  type RequestTable,
} from './engineTables.js';
import { tokenAt } from './engineText.js';

/** The tables, settings and counters that the systems use. */
export interface EngineWorld {
  readonly settings: EngineSettings;
  readonly condition: EngineCondition;
  readonly requests: RequestTable;
  readonly outputs: OutputTable;
  readonly counters: Counters<EngineCounter>;
}

type Output<Row = EngineOutputRow> = Row extends EngineOutputRow ? Omit<Row, 'id'> : never;

const createOutputWriter = (outputs: OutputTable) => {
  let lastOutput = 0;
  return (output: Output): void => {
    lastOutput += 1;
    outputs.put({ ...output, id: asBrand(String(lastOutput)) });
  };
};

/** The number of requests that occupy a slot. */
export const countRunning = (requests: RequestTable): number =>
  runningStates.reduce((sum, state) => sum + requests.count('state', state), 0);

/**
 * Creates the system that assigns free slots to queued requests and refuses those beyond the queue
 * limit.
 */
export const createAdmission = (world: EngineWorld): System => {
  const { settings, requests, counters } = world;
  const write = createOutputWriter(world.outputs);
  const changes = requests.createChangeReader();

  const refuseRequest = (row: EngineRequestRow): void => {
    requests.change(row.id, { state: RequestState.Refused });
    counters.add('refused');
    write({ kind: OutputKind.Refusal, request: row.id });
  };

  const startGenerating = (row: EngineRequestRow, now: Instant): void => {
    const delay = settings.tokenDelay + row.plan.lateness;
    const nextTokenDeadline = deadlineAfter(now, delay);
    requests.change(row.id, { state: RequestState.Generating, nextTokenDeadline });
  };

  const admitQueued = (now: Instant): void => {
    const queued = requests.where('state', RequestState.Queued);
    queued.filter((row) => row.plan.refuses).forEach(refuseRequest);
    const waitingRequests = queued
      .filter((row) => !row.plan.refuses)
      .sort((first, second) => first.priority - second.priority);
    const freeSlots = Math.max(0, settings.slots - countRunning(requests));
    waitingRequests.slice(0, freeSlots).forEach((row) => startGenerating(row, now));
    waitingRequests.slice(freeSlots + settings.queueLimit).forEach(refuseRequest);
  };

  return {
    name: 'admission',
    run: (now) => {
      if (changes.take().length > 0) admitQueued(now);
    },
  };
};

/** Creates the system that generates the tokens whose deadline has passed. */
export const createGeneration = (world: EngineWorld): System => {
  const { settings, condition, requests, counters } = world;
  const write = createOutputWriter(world.outputs);

  const finish = (row: EngineRequestRow): void => {
    requests.change(row.id, { state: RequestState.Finished });
    counters.add('finished');
    const hasSingleVersion = row.weightVersions.length === 1 && row.plan.namesWeightVersion;
    const weightVersion = hasSingleVersion ? row.weightVersions[0] : undefined;
    const { incarnation } = condition.read();
    write({ kind: OutputKind.End, request: row.id, weightVersion, incarnation });
  };

  const cutRequest = (row: EngineRequestRow): void => {
    requests.change(row.id, { state: RequestState.Crashed });
    counters.add('crashed');
    write({ kind: OutputKind.Cut, request: row.id });
  };

  const appendVersion = (versions: readonly number[], version: number): readonly number[] =>
    versions.at(-1) === version ? versions : [...versions, version];

  const generateToken = (row: EngineRequestRow): void => {
    const { weightVersion, incarnation } = condition.read();
    const text = tokenAt(row.prompt, row.firstToken + row.tokensSent);
    requests.change(row.id, {
      tokensSent: row.tokensSent + 1,
      weightVersions: appendVersion(row.weightVersions, weightVersion),
      nextTokenDeadline: deadlineAfter(row.nextTokenDeadline, settings.tokenDelay),
    });
    counters.add('tokensMade');
    const reportedVersion = row.plan.namesWeightVersion ? weightVersion : undefined;
    write({
      kind: OutputKind.Token,
      request: row.id,
      text,
      weightVersion: reportedVersion,
      incarnation,
    });
  };

  const processNextToken = (row: EngineRequestRow): void => {
    const { plan, tokensSent } = row;
    if (tokensSent === plan.swapAfterTokens) {
      condition.change({ weightVersion: plan.swapToWeightVersion });
    }
    if (tokensSent >= plan.cutAfterTokens) cutRequest(row);
    else if (tokensSent >= plan.silentAfterTokens)
      requests.change(row.id, { state: RequestState.Silent });
    else if (row.firstToken + tokensSent >= row.endToken) finish(row);
    else generateToken(row);
  };

  const generateDueTokens = (id: RequestId, now: Instant): void => {
    let row = requests.get(id);
    while (row?.state === RequestState.Generating && row.nextTokenDeadline <= now) {
      processNextToken(row);
      row = requests.get(id);
    }
  };

  return {
    name: 'generation',
    run: (now) =>
      requests.takeDue('nextToken', now).forEach((row) => generateDueTokens(row.id, now)),
  };
};

/** Creates the system that removes the oldest ended requests beyond the record limit. */
export const createRetention = ({ settings, requests }: EngineWorld): System => ({
  name: 'retention',
  run: () => {
    const requestsByAge = requests.rows();
    while (requests.size() > settings.recordLimit) {
      const row = requestsByAge.next().value as EngineRequestRow;
      const isOpen = row.state === RequestState.Queued || runningStates.includes(row.state);
      if (isOpen) return;
      requests.remove(row.id);
    }
  },
});

/**
 * Creates the system that calls `onDidChangeCondition` after the condition of the engine has
 * changed.
 */
export const createConditionWatch = (
  { condition }: EngineWorld,
  onDidChangeCondition: () => void,
): System => {
  const changes = condition.table.createChangeReader();
  return {
    name: 'conditionWatch',
    run: () => {
      if (changes.take().length > 0) onDidChangeCondition();
    },
  };
};
