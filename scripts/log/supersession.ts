/**
 * Which part of the entries of a log the agreed state does not need any more. A kind without a rule
 * counts as needed, so that the share is a lower bound.
 */
import type { LogEntry } from '../../src/service/consensus/common/logEntry.js';
import type { WeighedEntry } from './readFolder.js';

type Command = LogEntry['command'];
type CommandKind = Command['kind'];

/** What the log as a whole says, as far as the rules need it. */
interface LogFacts {
  readonly newestVersion: number;
  readonly newestVersionByModel: ReadonlyMap<string, number>;
  readonly lastIndexByKind: ReadonlyMap<CommandKind, number>;
  readonly forgottenJobs: ReadonlySet<string>;
  readonly endedJobs: ReadonlySet<string>;
  /** `JOB ITEM` of each item with a result. */
  readonly listedItems: ReadonlySet<string>;
  readonly frozenWindows: ReadonlySet<number>;
  readonly reportedWindows: ReadonlySet<number>;
  readonly closedOrders: ReadonlySet<string>;
}

/** Returns the superseded share of an entry, from 0 to 1. */
type Rule<Kind extends CommandKind> = (
  command: Extract<Command, { kind: Kind }>,
  facts: LogFacts,
  index: number,
) => number;

const shareOf = (isSuperseded: boolean): number => (isSuperseded ? 1 : 0);
const isNotLast = (kind: CommandKind, { lastIndexByKind }: LogFacts, index: number): number =>
  shareOf(lastIndexByKind.get(kind) !== index);
const itemKey = (job: string, item: string): string => `${job} ${item}`;

const rules: { readonly [Kind in CommandKind]?: Rule<Kind> } = {
  leadershipTaken: ({ kind }, facts, index) => isNotLast(kind, facts, index),
  votersSet: ({ kind }, facts, index) => isNotLast(kind, facts, index),
  declarationSet: ({ version }, { newestVersion }) => shareOf(version < newestVersion),
  versionNamed: ({ model, version }, { newestVersionByModel }) =>
    shareOf(version < (newestVersionByModel.get(model) ?? 0)),
  jobSubmitted: ({ job }, { forgottenJobs }) => shareOf(forgottenJobs.has(job)),
  itemsListed: ({ job }, { forgottenJobs }) => shareOf(forgottenJobs.has(job)),
  // A saved text is not read once its item has a result or its job has ended.
  textsSaved: ({ job, saved }, { endedJobs, listedItems }) =>
    endedJobs.has(job)
      ? 1
      : saved.filter(({ item }) => listedItems.has(itemKey(job, item))).length /
        Math.max(1, saved.length),
  textsDiscarded: ({ job }, { endedJobs }) => shareOf(endedJobs.has(job)),
  jobEnded: ({ job }, { forgottenJobs }) => shareOf(forgottenJobs.has(job)),
  jobForgotten: () => 1,
  usageCounted: ({ window }, { frozenWindows }) => shareOf(frozenWindows.has(window)),
  usageFrozen: ({ window }, { reportedWindows }) => shareOf(reportedWindows.has(window)),
  orderIntended: ({ order }, { closedOrders }) => shareOf(closedOrders.has(order)),
  orderClosed: () => 1,
};

const selectKind = <Kind extends CommandKind>(
  entries: readonly WeighedEntry[],
  kind: Kind,
): Extract<Command, { kind: Kind }>[] =>
  entries
    .map(({ entry }) => entry.command)
    .filter((command): command is Extract<Command, { kind: Kind }> => command.kind === kind);

const collectFacts = (entries: readonly WeighedEntry[]): LogFacts => {
  const named = selectKind(entries, 'versionNamed');
  return {
    newestVersion: Math.max(
      0,
      ...selectKind(entries, 'declarationSet').map(({ version }) => version),
    ),
    newestVersionByModel: new Map(
      [...named]
        .sort((first, second) => first.version - second.version)
        .map(({ model, version }) => [model, version]),
    ),
    lastIndexByKind: new Map(entries.map(({ entry }) => [entry.command.kind, entry.index])),
    forgottenJobs: new Set(selectKind(entries, 'jobForgotten').map(({ job }) => job)),
    endedJobs: new Set(
      [...selectKind(entries, 'jobEnded'), ...selectKind(entries, 'jobForgotten')].map(
        ({ job }) => job,
      ),
    ),
    listedItems: new Set(
      selectKind(entries, 'itemsListed').flatMap(({ job, results }) =>
        results.map(({ item }) => itemKey(job, item)),
      ),
    ),
    frozenWindows: new Set(selectKind(entries, 'usageFrozen').map(({ window }) => window)),
    reportedWindows: new Set(selectKind(entries, 'usageReported').map(({ window }) => window)),
    closedOrders: new Set(selectKind(entries, 'orderClosed').map(({ order }) => order)),
  };
};

/** The entries of one kind of command. */
export interface KindWeight {
  readonly kind: string;
  readonly count: number;
  readonly bytes: number;
  readonly supersededBytes: number;
}

/** Weighs the entries by kind, the heaviest first. */
export const weighByKind = (entries: readonly WeighedEntry[]): KindWeight[] => {
  const facts = collectFacts(entries);
  const weights = new Map<string, KindWeight>();
  entries.forEach(({ entry: { command, index }, bytes }) => {
    const { kind } = command;
    const rule = rules[kind] as Rule<CommandKind> | undefined;
    const before = weights.get(kind) ?? { kind, count: 0, bytes: 0, supersededBytes: 0 };
    weights.set(kind, {
      kind,
      count: before.count + 1,
      bytes: before.bytes + bytes,
      supersededBytes: before.supersededBytes + bytes * (rule?.(command, facts, index) ?? 0),
    });
  });
  return [...weights.values()].sort((first, second) => second.bytes - first.bytes);
};
