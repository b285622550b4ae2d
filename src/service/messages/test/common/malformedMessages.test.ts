/**
 * Malformed messages between daemons: fields of real messages are replaced by values of other types
 * and by extreme ones. A message that the schema rejects has no effect; one that it accepts must
 * not end a tick with an exception, which would end the process of every daemon that receives it.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createRandom, selectRandomElement, type Random } from '../../../../base/common/random.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import { createFrameDecoder, encodeFrame } from '../../../../infrastructure/wire/node/frames.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { Profile } from '../../../core/common/core.js';
import { messageSchema, type Message } from '../../common/message.js';

const seeds = 24;
const mutationsPerSeed = 800;
const samplesPerKind = 4;
const warmUpMilliseconds = 8_000;

const replacements: readonly unknown[] = [
  null,
  undefined,
  true,
  -1,
  0.5,
  Number.NaN,
  Number.POSITIVE_INFINITY,
  Number.MAX_SAFE_INTEGER,
  '',
  '__proto__',
  'x'.repeat(5_000),
  [],
  {},
  [null],
  new Uint8Array([1]),
];

type Container = Record<string, unknown>;

const isContainer = (value: unknown): value is Container =>
  typeof value === 'object' && value !== null && !(value instanceof Uint8Array);

/** Replaces one field at a random depth; containers are copied. */
const mutate = (value: Container, random: Random): Container => {
  const copy = (Array.isArray(value) ? [...(value as unknown[])] : { ...value }) as Container;
  const name = selectRandomElement(random, Object.keys(copy));
  if (name === undefined) return copy;
  const field = copy[name];
  const shouldDescend = isContainer(field) && random.nextInteger(3) > 0;
  copy[name] = shouldDescend ? mutate(field, random) : selectRandomElement(random, replacements);
  return copy;
};

const createInstallation = (onDidSend: (message: Message) => void): VirtualInstallation => {
  const installation = createVirtualInstallation({
    deployment: { ...createTestDeployment(4, 3), discovery: Discovery.Announced },
    tree: createTestTree(),
    seed: 11,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3 },
    onDidSendMessage: (_from, _to, message) => onDidSend(message),
  });
  installation.runFor(warmUpMilliseconds);
  return installation;
};

/** Lets the installation exchange messages of as many kinds as it has without upstreams. */
const exchangeMessages = (installation: VirtualInstallation): void => {
  const { world } = installation.daemon('d4').core;
  const proposalDeadline = installation.now() + warmUpMilliseconds;
  [testDeclarationCommand(), testJob('j1', [testItem('i1')], { submittedAt: 0 })].forEach(
    (command, index) =>
      world.proposals.append({ id: asBrand(`p${index}`), command, proposalDeadline }),
  );
  world.arrivedRegistrations.append({
    registration: testEngine('e1', { startedAt: -1 }),
    isDirect: true,
  });
  world.jobReads.put({
    id: asBrand('r1'),
    job: 'j1',
    workspace: 'yard',
    question: { kind: 'results', after: 0, waitMilliseconds: 500 },
    answer: null,
    sendDeadline: installation.now(),
    readDeadline: proposalDeadline,
  });
  world.arrivedDepartures.append({ upstream: 'e9', startedAt: null });
  installation.wake('d4');
  installation.runFor(2_000);
};

const collectSamples = (): readonly Message[] => {
  const samples = new Map<string, Message[]>();
  const installation = createInstallation((message) => {
    const known = samples.get(message.kind) ?? [];
    if (known.length < samplesPerKind) samples.set(message.kind, [...known, message]);
  });
  exchangeMessages(installation);
  return [...samples.values()].flat();
};

const samples = collectSamples();

test('real messages of the main kinds are mutated', (t) => {
  const kinds = new Set(samples.map(({ kind }) => kind));
  ['heartbeat', 'entriesAppended', 'voteRequested', 'followRequested', 'jobReadAsked'].forEach(
    (kind) => t.true(kinds.has(kind as Message['kind']), kind),
  );
});

Array.from({ length: seeds }, (_, index) => index + 1).forEach((seed) =>
  test(`a daemon lives through malformed messages, seed ${seed}`, (t) => {
    const random = createRandom(seed);
    const installation = createInstallation(() => {});
    const decoder = createFrameDecoder();
    let accepted = 0;
    for (let mutation = 0; mutation < mutationsPerSeed; mutation += 1) {
      const mutated = mutate(selectRandomElement(random, samples)!, random);
      const [decoded] = decoder.push(encodeFrame(mutated)._unsafeUnwrap())._unsafeUnwrap();
      const parsed = messageSchema.safeParse(decoded);
      if (parsed.success) {
        accepted += 1;
        const to = `d${1 + random.nextInteger(4)}`;
        const from = `d${1 + random.nextInteger(4)}`;
        installation.daemon(to).core.world.incomingMessages.append({
          from: asBrand(from),
          message: parsed.data,
        });
        t.notThrows(
          () => {
            installation.wake(to);
            installation.runFor(5);
          },
          JSON.stringify(mutated).slice(0, 600),
        );
      }
    }
    t.true(accepted >= 40, `${accepted} messages were accepted`);
  }),
);
