/**
 * Guards against the loss of an accepted entry because a candidate with an outdated set of voters is
 * elected by conditional votes. All daemons start with disks on which an entry was accepted, and one
 * of the current voters has lost its disk.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { encodeRecord } from '../../../../infrastructure/storage/node/recordCodec.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { createControlHistory } from '../../../../../standins/virtual/controlHistory.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import { type VirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { declarationId } from '../../../declaration/common/declarationTables.js';
import type { Command } from '../../common/command.js';
import type { StorageWrite } from '../../common/durableState.js';
import type { LogEntry } from '../../common/logEntry.js';

const initialVoters = ['d1', 'd2', 'd3'];
const voterCount = 3;
/** `recoveryS` of the users' requirements. */
const recoveryMilliseconds = 12_000;
const latencyMilliseconds = 2;
const acceptedVersion = 2;
const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

const votersSet = (...voters: string[]): Command => ({ kind: 'votersSet', voters });

/** The log on a disk, as the number of entries that it holds; null for a disk that was lost. */
type HeldEntries = Readonly<Record<string, number | null>>;

const entriesOf = (commands: readonly Command[]): readonly LogEntry[] =>
  commands.map((command, position) => ({
    index: position + 1,
    term: 1,
    proposal: asBrand(`entry-${position + 1}`),
    origin: 'd1',
    command,
  }));

const writesOf = (entries: readonly LogEntry[]): readonly StorageWrite[] => [
  { kind: 'vote', term: 1, votedFor: 'd1' },
  { kind: 'joined' },
  { kind: 'entries', entries: [...entries] },
];

const start = (
  commands: readonly Command[],
  held: HeldEntries,
  seed: number,
): { readonly installation: VirtualInstallation; readonly violations: () => readonly string[] } => {
  const names = Object.keys(held);
  const daemonCount = Math.max(...names.map((name) => Number(name.slice(1))));
  let created: VirtualInstallation | undefined;
  const history = createControlHistory(() => created);
  const installation = createAnnouncedInstallation({
    daemonCount,
    voterCount,
    seed,
    voters: (name) => (initialVoters.includes(name) && held[name] !== null ? initialVoters : []),
    latency: () => latencyMilliseconds,
    initiallyStopped: Array.from({ length: daemonCount }, (_, position) => `d${position + 1}`),
    ports: [history.createPort],
  });
  created = installation;
  const entries = entriesOf(commands);
  names.forEach((name) => {
    const count = held[name] ?? null;
    if (count === null) return;
    const disk = installation.disk(name);
    writesOf(entries.slice(0, count)).forEach((write) => disk.write(encodeRecord(write)));
    disk.sync();
  });
  names.forEach((name) => installation.start(name));
  return { installation, violations: history.violations };
};

/** Returns what is wrong after the time of recovery; empty if the accepted entry is known to all. */
const findViolations = (
  commands: readonly Command[],
  held: HeldEntries,
  seed: number,
): readonly string[] => {
  const { installation, violations } = start(commands, held, seed);
  installation.runFor(recoveryMilliseconds);
  const outdated = installation
    .runningNames()
    .filter(
      (name) =>
        installation.daemon(name).core.world.declarations.get(declarationId)?.version !==
        acceptedVersion,
    );
  return [
    ...violations().slice(0, 1),
    ...(outdated.length === 0 ? [] : [`${outdated.join(', ')} lack the accepted version`]),
  ].map((violation) => `seed ${seed}: ${violation}`);
};

test('a voter that does not know of the voter added last does not lead without its entries', (t) => {
  const commands = [
    { kind: 'leadershipTaken', leader: 'd1' },
    votersSet('d1', 'd2', 'd3'),
    votersSet('d1', 'd2'),
    votersSet('d1', 'd2', 'd4'),
    testDeclarationCommand(acceptedVersion),
  ] as const;
  // d1 and d4 have accepted the last entries; d3 was replaced by d4, and d1 has lost its disk.
  const held = { d1: null, d2: 3, d4: commands.length };
  t.deepEqual(
    seeds.flatMap((seed) => findViolations(commands, held, seed)),
    [],
  );
});

test('a removed voter does not lead with earlier voters that have lost their disks since', (t) => {
  const commands = [
    { kind: 'leadershipTaken', leader: 'd1' },
    votersSet('d1', 'd2', 'd3'),
    testDeclarationCommand(1),
    votersSet('d1', 'd2'),
    votersSet('d1', 'd2', 'd4'),
    votersSet('d2', 'd4'),
    votersSet('d2', 'd4', 'd5'),
    votersSet('d4', 'd5'),
    votersSet('d4', 'd5', 'd1'),
    testDeclarationCommand(acceptedVersion),
  ] as const;
  // d3 was removed while it was cut off, d2 is a learner since its disk was lost, d1 loses its disk.
  const held = { d1: null, d2: null, d3: 3, d4: commands.length, d5: commands.length };
  t.deepEqual(
    seeds.flatMap((seed) => findViolations(commands, held, seed)),
    [],
  );
});

const replacementCommands = [
  { kind: 'leadershipTaken', leader: 'd1' },
  votersSet('d1', 'd2', 'd3'),
  testDeclarationCommand(acceptedVersion),
  votersSet('d1', 'd2'),
  votersSet('d1', 'd2', 'd4'),
] as const;

test('neither a removed voter nor one that has never heard of a leader prevents an election', (t) => {
  // d3 was removed, where it is there; d4 has never heard of a leader, where it holds nothing.
  const mixtures: readonly HeldEntries[] = [
    { d1: 5, d2: 4, d4: null },
    { d1: 5, d2: 5, d3: 3, d4: 5 },
    { d1: 5, d2: 4, d3: 3, d4: null },
    { d1: null, d2: 5, d3: 3, d4: 5 },
  ];
  t.deepEqual(
    mixtures.flatMap((held) =>
      [1, 2, 3].flatMap((seed) => findViolations(replacementCommands, held, seed)),
    ),
    [],
  );
});

test('a voter does not lead with two empty disks, also if they are those of all other voters', (t) => {
  // d1 has lost its disk right after it added d4, before d4 had heard of it.
  const mixtures: readonly HeldEntries[] = [
    { d1: null, d2: 5, d4: null },
    { d1: null, d2: 5, d3: 3, d4: null },
  ];
  mixtures.forEach((held) =>
    [1, 2, 3].forEach((seed) => {
      const { installation, violations } = start(replacementCommands, held, seed);
      installation.runFor(recoveryMilliseconds);
      t.false(installation.events().some(({ kind }) => kind === 'leadershipTaken'));
      t.deepEqual(violations(), []);
    }),
  );
});
