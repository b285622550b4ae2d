/**
 * Random commands of every kind, over few identifiers, so that commands of one sequence often concern
 * the same rows.
 */
import fc from 'fast-check';
import { createTestTree, digestOf } from '../../../../../standins/virtual/testDeployment.js';
import type { UnionMember } from '../../../../base/common/handlers.js';
import type { JobItem } from '../../../jobs/common/jobCommands.js';
import type { Declaration } from '../../../declaration/common/declaration.js';
import type { Command } from '../../common/command.js';

type CommandArbitraries = {
  readonly [Kind in Command['kind']]: fc.Arbitrary<UnionMember<Command, Kind>>;
};

const kindOf = <Kind extends Command['kind']>(kind: Kind) => fc.constant(kind);
const oneOf = <Value>(...values: Value[]) => fc.constantFrom(...values);
const numberUpTo = (max: number) => fc.integer({ min: 0, max });
const subset = <Value>(...values: Value[]) => fc.subarray(values, { minLength: 1 });

const lot = oneOf('lot-1', 'lot-2');
const trainerVersion = fc.integer({ min: 1, max: 4 });
const cursor = numberUpTo(1);
const epoch = numberUpTo(1);
const spans = trainerVersion.map((weightVersion) => [{ weightVersion, incarnation: 1, tokens: 5 }]);

/** Samples of a lot: two groups of one. */
const samplesOf = (name: string) => subset(`${name}/0/0`, `${name}/1/0`);

const job = oneOf('job-1', 'job-2');
const itemName = oneOf('item-1', 'item-2');
const versions = oneOf<number[]>([1, 2], [3]);
const body = fc.uint8Array({ maxLength: 4 }).map((bytes) => new Uint8Array(bytes));

const createItem = (item: string, content: JobItem['body']): JobItem => ({
  item,
  path: '/v1',
  ...(item === 'item-2' ? { contentDigest: 'digest' } : {}),
  headers: { accept: 'text' },
  body: content,
  tokens: 7,
  ...(item === 'item-1' ? { maximumOutputTokens: 5 } : {}),
  expectedTokens: item === 'item-1' ? 3 : null,
  group: 'group',
  scorer: item === 'item-1' ? { requestId: 'r', host: 'score', path: '/', body: content } : null,
});

const createDeclaration = (version: number, prefixes: readonly string[]): Declaration => ({
  version,
  routes: prefixes.map((prefix) => ({
    name: prefix,
    host: 'host',
    prefix,
    kind: 'idempotent',
    timeoutMilliseconds: null,
    objectiveMilliseconds: version,
    targets: [{ service: 'service', weight: 1 }],
    maximumAttempts: 2,
    isOpen: false,
    isResumable: false,
    isSingleVersion: false,
    priority: 0,
    dueMilliseconds: null,
    itemLifetimeMilliseconds: null,
  })),
  services: [],
  workspaces:
    version % 2 === 0
      ? [{ name: 'one', keys: prefixes.map((prefix) => `key ${prefix}`), priority: null }]
      : null,
  limits: {
    maximumHeaderBytes: 1,
    maximumBodyBytes: 1,
    headerMilliseconds: 1,
    idleMilliseconds: 1,
  },
});

const edit = {
  request: oneOf('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'),
  operator: fc.constant('operator'),
  content: oneOf('x', 'y', 'x', 'x'),
};
const workspace = oneOf('one', 'two', 'absent');
const keyName = oneOf('main', 'second', 'third');
const digest = oneOf('k1', 'k2', 'k3', 'k4').map(digestOf);

const window = oneOf(0, 1, 2, 64, 65);

/** For each kind of command, its arbitrary commands. */
export const commandArbitraries: CommandArbitraries = {
  leadershipTaken: fc.record({ kind: kindOf('leadershipTaken'), leader: oneOf('d1', 'd2') }),
  votersSet: fc.record({ kind: kindOf('votersSet'), voters: subset('d1', 'd2', 'd3') }),
  daemonRetired: fc.record({
    kind: kindOf('daemonRetired'),
    daemon: oneOf('d1', 'd2'),
    label: oneOf('vm-1', 'vm-2'),
  }),
  treeSeeded: fc.record({
    kind: kindOf('treeSeeded'),
    tree: oneOf(JSON.parse(JSON.stringify(createTestTree())) as never, {}),
  }),
  treeSet: fc.record({
    kind: kindOf('treeSet'),
    ...edit,
    path: oneOf('workspaces.one.policy.weight', 'workspaces.two.policy.weight', 'services.x'),
    change: fc.oneof(
      fc.record({ kind: fc.constant('put' as const), value: oneOf(1, 2, -1) }),
      fc.record({ kind: fc.constant('remove' as const) }),
    ),
    expectedRevision: fc.integer({ min: 1, max: 3 }),
  }),
  keyIssue: fc.record({ kind: kindOf('keyIssue'), ...edit, workspace, name: keyName, digest }),
  keyWithdraw: fc.record({ kind: kindOf('keyWithdraw'), ...edit, workspace, name: keyName }),
  keyRotate: fc.record({
    kind: kindOf('keyRotate'),
    ...edit,
    workspace,
    name: keyName,
    successor: oneOf('second', 'third'),
    digest,
    overlapMilliseconds: oneOf(0, 50),
  }),
  orderIntended: fc.record({
    kind: kindOf('orderIntended'),
    order: oneOf('order-1', 'order-2', 'order-3'),
    upstream: oneOf('upstream-1', 'upstream-2'),
    action: oneOf('loadWeights' as const, 'changeRole' as const),
    target: oneOf<string | number>('role', 3),
  }),
  orderClosed: fc.record({
    kind: kindOf('orderClosed'),
    order: oneOf('order-1', 'order-2', 'order-3'),
    result: oneOf('done' as const, 'refused' as const),
  }),
  lotOpened: fc.record({
    kind: kindOf('lotOpened'),
    lot,
    workspace: fc.constant('one'),
    service: fc.constant('model'),
    model: fc.constant('model'),
    step: fc.constant(1),
    trainerVersion: fc.constant(1),
    stalenessBound: fc.constant(1),
    swapPolicy: oneOf('continue' as const, 'restart' as const),
    groupCount: fc.constant(2),
    groupSize: fc.constant(1),
    maximumTokens: fc.constant(9),
    owner: oneOf('d1', 'd2'),
    promptDigest: oneOf('p', 'p', 'q'),
    holders: subset('d1', 'd2'),
    remaining: fc.constant(90.5),
  }),
  samplesCompleted: lot.chain((name) =>
    fc.record({
      kind: kindOf('samplesCompleted'),
      lot: fc.constant(name),
      epoch,
      samples: samplesOf(name).chain((samples) =>
        fc.tuple(
          ...samples.map((sample) =>
            fc.record({
              sample: fc.constant(sample),
              attempt: oneOf('attempt-1', 'attempt-2'),
              holders: subset('d1', 'd2'),
              spans,
            }),
          ),
        ),
      ),
    }),
  ),
  trainerAdvanced: fc.record({ kind: kindOf('trainerAdvanced'), lot, cursor, trainerVersion }),
  batchAssigned: lot.chain((name) =>
    fc.record({
      kind: kindOf('batchAssigned'),
      lot: fc.constant(name),
      cursor,
      trainerVersion,
      samples: samplesOf(name),
    }),
  ),
  batchWithdrawn: fc.record({ kind: kindOf('batchWithdrawn'), lot, cursor, trainerVersion }),
  lotFailed: fc.record({
    kind: kindOf('lotFailed'),
    lot,
    failure: fc.constant('deadlinePassed' as const),
  }),
  lotTakenOver: fc.record({
    kind: kindOf('lotTakenOver'),
    lot,
    owner: oneOf('d1', 'd2'),
    epoch: fc.constant(1),
  }),
  lotDropped: fc.record({ kind: kindOf('lotDropped'), lot }),
  declarationSet: fc
    .tuple(fc.integer({ min: 1, max: 4 }), fc.shuffledSubarray(['/', '/a/', '/b/']))
    .map(([version, prefixes]) => ({
      kind: 'declarationSet' as const,
      version,
      digest: prefixes.join(),
      document: `document ${version} ${prefixes.join()}`,
      declaration: createDeclaration(version, prefixes),
    })),
  jobSubmitted: fc.record({
    kind: kindOf('jobSubmitted'),
    job,
    workspace: oneOf(null, 'one'),
    host: fc.constant('host'),
    path: fc.constant('/'),
    model: oneOf('model-1', 'model-2'),
    step: fc.constant(1),
    minimumVersion: fc.constant(1),
    groupCount: fc.constant(1),
    submittedAt: fc.constant(1_796_515_000_123),
    items: fc
      .tuple(subset('item-1', 'item-2'), body)
      .map(([names, content]) => names.map((name) => createItem(name, content))),
    homeRegions: oneOf<string[]>([], ['r1']),
    holders: subset('d1', 'd2', 'd3'),
  }),
  holdersSet: fc.record({ kind: kindOf('holdersSet'), job, holders: subset('d1', 'd2', 'd3') }),
  itemsListed: fc.record({
    kind: kindOf('itemsListed'),
    job,
    results: fc.array(
      fc
        .record({
          item: itemName,
          result: oneOf('completed' as const, 'dead' as const),
          text: fc.string({ maxLength: 3 }),
          versions,
          score: oneOf(null, '0.5'),
          heldText: oneOf(undefined, { digest: 'digest', characters: 3 }),
        })
        .map(({ heldText, ...listed }) =>
          heldText === undefined ? listed : { ...listed, heldText },
        ),
      { maxLength: 2 },
    ),
  }),
  textsSaved: fc.record({
    kind: kindOf('textsSaved'),
    job,
    saved: fc.array(
      fc
        .record({
          item: itemName,
          after: oneOf(0, 1),
          events: oneOf(1, 2),
          text: fc.string({ maxLength: 3 }),
          versions,
          softwareVersion: oneOf('1.0', '1.0', '1.1', undefined),
        })
        .map(({ softwareVersion, ...saved }) =>
          softwareVersion === undefined ? saved : { ...saved, softwareVersion },
        ),
      { maxLength: 2 },
    ),
  }),
  textsDiscarded: fc.record({
    kind: kindOf('textsDiscarded'),
    job,
    items: subset('item-1', 'item-2'),
  }),
  jobEnded: fc.record({ kind: kindOf('jobEnded'), job }),
  jobForgotten: fc.record({ kind: kindOf('jobForgotten'), job }),
  runnerSet: fc.record({ kind: kindOf('runnerSet'), job, runner: oneOf('d1', 'd2') }),
  versionNamed: fc.record({
    kind: kindOf('versionNamed'),
    model: oneOf('model-1', 'model-2'),
    version: trainerVersion,
  }),
  usageCounted: fc.record({
    kind: kindOf('usageCounted'),
    window,
    counts: fc.dictionary(oneOf('one', 'two'), numberUpTo(5)),
  }),
  usageFrozen: fc.record({ kind: kindOf('usageFrozen'), window }),
  usageReported: fc.record({ kind: kindOf('usageReported'), window }),
  zoneEvacuated: fc.record({
    kind: kindOf('zoneEvacuated'),
    zone: oneOf('z1', 'z2'),
    at: numberUpTo(9),
    seenIndex: numberUpTo(60),
  }),
  zoneRestored: fc.record({
    kind: kindOf('zoneRestored'),
    zone: oneOf('z1', 'z2'),
    seenIndex: numberUpTo(60),
  }),
};

/** Any command; each kind is equally frequent. */
export const anyCommand: fc.Arbitrary<Command> = fc.oneof(
  ...Object.values<fc.Arbitrary<Command>>(commandArbitraries),
);
