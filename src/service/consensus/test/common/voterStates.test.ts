/**
 * Guards against an installation that never elects a leader again, or none at all, after a disk was
 * lost. Three voters start with every mixture of states of their disks. In a mixture where they must
 * wait, an accepted entry may be held only by a voter that is gone or that they do not know.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import type { ValueOf } from '../../../../base/common/handlers.js';
import { encodeRecord } from '../../../../infrastructure/storage/node/recordCodec.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import { type VirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import type { Command } from '../../common/command.js';
import type { StorageWrite } from '../../common/durableState.js';
import type { LogEntry } from '../../common/logEntry.js';
import { replicaOf } from '../../common/replicaLog.js';
import { isCurrentLeader } from '../../common/replicaTables.js';

const names = ['d1', 'd2', 'd3'];
/** `recoveryS` of the users' requirements. */
const recoveryMilliseconds = 12_000;
const pollMilliseconds = 500;

/** What the disk of a voter holds. */
const DiskState = {
  /** The voters of the first start and nothing else. */
  Founding: 'founding',
  /** It was a candidate in the first term. */
  WasCandidate: 'wasCandidate',
  /** It granted its vote in the first term. */
  HasVoted: 'hasVoted',
  /** The first entries of the log. */
  HoldsPart: 'holdsPart',
  /** The whole log. */
  HoldsLog: 'holdsLog',
  /** It was lost, and the first entries have come back since. */
  CatchesUp: 'catchesUp',
  /** It was lost, and nothing has come back. */
  Emptied: 'emptied',
  /** Lost together with its daemon. */
  Gone: 'gone',
} as const;
type DiskState = ValueOf<typeof DiskState>;

const commands: readonly Command[] = [
  { kind: 'leadershipTaken', leader: 'd1' },
  { kind: 'votersSet', voters: names },
  testDeclarationCommand(1),
  testDeclarationCommand(2),
];
const partLength = 2;

const entries: readonly LogEntry[] = commands.map((command, position) => ({
  index: position + 1,
  term: 1,
  proposal: asBrand(`entry-${position + 1}`),
  origin: 'd1',
  command,
}));

const voteFor = (votedFor: string): StorageWrite => ({ kind: 'vote', term: 1, votedFor });
const joined: StorageWrite = { kind: 'joined' };
const writeOfEntries = (count: number): StorageWrite => ({
  kind: 'entries',
  entries: entries.slice(0, count),
});

const writesByState: Readonly<Record<DiskState, (name: string) => readonly StorageWrite[]>> = {
  founding: () => [],
  wasCandidate: (name) => [voteFor(name)],
  hasVoted: () => [voteFor('d1'), joined],
  holdsPart: () => [voteFor('d1'), joined, writeOfEntries(partLength)],
  holdsLog: () => [voteFor('d1'), joined, writeOfEntries(entries.length)],
  catchesUp: () => [writeOfEntries(partLength)],
  emptied: () => [],
  gone: () => [],
};

/** Whether the disk has been the same since the first start. */
const isOriginal: Readonly<Record<DiskState, boolean>> = {
  founding: true,
  wasCandidate: true,
  hasVoted: true,
  holdsPart: true,
  holdsLog: true,
  catchesUp: false,
  emptied: false,
  gone: false,
};

const start = (states: readonly DiskState[], seed: number): VirtualInstallation => {
  const stateOf = (name: string): DiskState => states[names.indexOf(name)]!;
  const installation = createAnnouncedInstallation({
    daemonCount: names.length,
    voterCount: names.length,
    seed,
    voters: (name) => (isOriginal[stateOf(name)] ? names : []),
    initiallyStopped: names,
  });
  names.forEach((name) => {
    const disk = installation.disk(name);
    writesByState[stateOf(name)](name).forEach((write) => disk.write(encodeRecord(write)));
    disk.sync();
  });
  names
    .filter((name) => stateOf(name) !== DiskState.Gone)
    .forEach((name) => installation.start(name));
  return installation;
};

const hasLeader = (installation: VirtualInstallation): boolean =>
  installation
    .runningNames()
    .some((name) =>
      isCurrentLeader(replicaOf(installation.daemon(name).core.world), installation.now()),
    );

/** Whether the disk is present and holds no entry. */
const isWithoutEntries: Readonly<Record<DiskState, boolean>> = {
  founding: true,
  wasCandidate: true,
  hasVoted: true,
  holdsPart: false,
  holdsLog: false,
  catchesUp: false,
  emptied: true,
  gone: false,
};

/** Runs an installation until it has a leader, or for the time within which it must have one. */
const electsLeader = (installation: VirtualInstallation): boolean => {
  const end = installation.now() + recoveryMilliseconds;
  while (installation.now() < end && !hasLeader(installation))
    installation.runFor(pollMilliseconds);
  return hasLeader(installation);
};

const count = (states: readonly DiskState[], isCounted: (state: DiskState) => boolean): number =>
  states.filter(isCounted).length;

const hasOriginalQuorum = (states: readonly DiskState[]): boolean =>
  count(states, (state) => isOriginal[state]) > names.length / 2;

/** Whether no voter is gone, none holds an entry, and at least one of them knows who votes. */
const isNew = (states: readonly DiskState[]): boolean =>
  states.every((state) => isWithoutEntries[state]) && states.some((state) => isOriginal[state]);

const allStates = Object.values(DiskState);

/** Every multiset of three states. */
const mixtures = allStates.flatMap((first, firstPosition) =>
  allStates
    .slice(firstPosition)
    .flatMap((second, offset) =>
      allStates.slice(firstPosition + offset).map((third) => [first, second, third] as const),
    ),
);

const seeds = [1, 2, 3];

/** Runs each mixture, and describes those that do not end as expected. */
const findDeviations = (
  selected: readonly (readonly DiskState[])[],
  shouldElect: boolean,
  seed: number,
): string[] =>
  selected
    .filter((states) => electsLeader(start(states, seed)) !== shouldElect)
    .map((states) => states.join(', '));

seeds.forEach((seed) => {
  test(`voters elect a leader if more than half of the disks are the original ones, seed ${seed}`, (t) => {
    t.deepEqual(findDeviations(mixtures.filter(hasOriginalQuorum), true, seed), []);
  });

  test(`voters elect a leader if all are present and none holds an entry, seed ${seed}`, (t) => {
    t.deepEqual(findDeviations(mixtures.filter(isNew), true, seed), []);
  });

  test(`voters wait if half of the disks or more were lost and an entry may have been, seed ${seed}`, (t) => {
    const waiting = mixtures.filter((states) => !hasOriginalQuorum(states) && !isNew(states));
    t.deepEqual(findDeviations(waiting, false, seed), []);
  });
});
