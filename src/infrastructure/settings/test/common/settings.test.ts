/** Deployment files: every fault is named at once, and each cross check refuses what it is for. */
import test from 'ava';
import { checkDeployment } from '../../common/checkDeployment.js';
import { parseToml } from '../../common/parseToml.js';
import { SettingsFaultKind } from '../../common/settingsFault.js';

const createDaemonSettings = (position: number, columns: object = {}): object => ({
  name: `daemon-${position}`,
  zone: `zone-${position}`,
  region: 'north',
  roles: ['entry'],
  callerAddress: `127.0.0.1:${7100 + position}`,
  peerAddress: `127.0.0.1:${7200 + position}`,
  ...columns,
});

const controlSettings = { roles: ['entry', 'control'], dataFolder: 'data' };

/** A deployment of one control daemon and one entry, with some settings of each replaced. */
const createDeployment = (
  first: object = {},
  second: object = {},
  deploymentSettings: object = {},
): object => ({
  name: 'yard',
  tree: 'yard.tree.toml',
  daemons: [
    createDaemonSettings(0, { ...controlSettings, ...first }),
    createDaemonSettings(1, second),
  ],
  ...deploymentSettings,
});

const faultsOf = (document: unknown): readonly string[] =>
  checkDeployment(document).match(
    () => [],
    (faults) => faults.map(({ kind, path }) => `${kind} ${path}`),
  );

test('a good deployment passes, and defaults are filled in', (t) => {
  const deployment = checkDeployment(createDeployment())._unsafeUnwrap();
  t.is(deployment.timing.heartbeatMilliseconds, 1_000);
});

test('all faults of the schema are named at once, each with its kind', (t) => {
  const document = createDeployment(
    { zone: undefined, colour: 'red' },
    { name: 'Yard', roles: ['guard'], callerAddress: 7101 },
    { limits: { maximumBodyBytes: 0 } },
  );
  t.deepEqual(
    [...faultsOf(document)].sort(),
    [
      'badForm daemons[1].name',
      'missing daemons[0].zone',
      'notAllowed daemons[1].roles[0]',
      'outOfRange limits.maximumBodyBytes',
      'unknownKey daemons[0].colour',
      'wrongType daemons[1].callerAddress',
    ].sort(),
  );
});

test('an unknown key is refused, and does not hide the faults of cross checks', (t) => {
  const document = createDeployment({}, { name: 'daemon-0' }, { colour: 'red' });
  t.deepEqual(faultsOf(document), ['unknownKey colour', 'repeated daemons[1].name']);
});

test('a key that would reach the prototype of an object is refused once', (t) => {
  const document = parseToml('[__proto__]\ncolour = "red"')._unsafeUnwrap();
  const reserved = faultsOf(document).filter((fault) => fault.endsWith('__proto__'));
  t.deepEqual(reserved, ['unknownKey __proto__']);
});

const withFirstDaemon = (columns: object): object => createDeployment(columns);
const withSecondDaemon = (columns: object): object => createDeployment({}, columns);
const withTiming = (columns: object): object => createDeployment({}, {}, { timing: columns });
const withMetricsAddress = (metricsAddress: string): object =>
  createDeployment({}, {}, { metricsAddress });
const controlOnlyDeployment = {
  ...createDeployment(),
  daemons: [createDaemonSettings(0, { ...controlSettings, roles: ['control'] })],
};
const secondControlSettings = { roles: ['control'], dataFolder: 'other' };

/** A document for each cross check, with the fault that it has, if any. */
const crossChecks: Readonly<Record<string, readonly [object, string?]>> = {
  'a repeated name': [withSecondDaemon({ name: 'daemon-0' }), 'repeated daemons[1].name'],
  'an address of two': [
    withSecondDaemon({ callerAddress: '127.0.0.1:7200' }),
    'repeated daemons[1].callerAddress',
  ],
  'one address twice': [
    withSecondDaemon({ peerAddress: '127.0.0.1:7101' }),
    'repeated daemons[1].peerAddress',
  ],
  'port 0': [withSecondDaemon({ peerAddress: '127.0.0.1:0' }), 'outOfRange daemons[1].peerAddress'],
  'port 1': [withSecondDaemon({ peerAddress: '127.0.0.1:1' })],
  'port 65535': [withSecondDaemon({ peerAddress: '127.0.0.1:65535' })],
  'port 65536': [
    withSecondDaemon({ peerAddress: '127.0.0.1:65536' }),
    'outOfRange daemons[1].peerAddress',
  ],
  'IP number part 256': [withMetricsAddress('127.0.0.256:8125'), 'outOfRange metricsAddress'],
  'no data folder': [withFirstDaemon({ dataFolder: undefined }), 'missing daemons[0].dataFolder'],
  'a shared data folder': [
    withSecondDaemon({ dataFolder: 'data' }),
    'repeated daemons[1].dataFolder',
  ],
  'a data folder on two VMs': [
    withSecondDaemon({ dataFolder: 'data', peerAddress: '127.0.0.2:7201' }),
  ],
  'two control daemons': [withSecondDaemon(secondControlSettings), 'conflict daemons'],
  'no control daemon': [withFirstDaemon({ roles: ['entry'] }), 'conflict daemons'],
  'no entry': [controlOnlyDeployment, 'conflict daemons'],
  'a control daemon that is no entry': [withFirstDaemon({ roles: ['control'] })],
  'a zone in two regions': [
    withSecondDaemon({ zone: 'zone-0', region: 'south' }),
    'conflict daemons[1].region',
  ],
  'early suspicion': [
    withTiming({ suspicionMilliseconds: 2_999 }),
    'conflict timing.suspicionMilliseconds',
  ],
  'suspicion after three heartbeats': [withTiming({ suspicionMilliseconds: 3_000 })],
};

Object.entries(crossChecks).forEach(([name, [document, expected]]) =>
  test(`cross check: ${name}`, (t) => {
    t.deepEqual(faultsOf(document), expected === undefined ? [] : [expected]);
  }),
);

test('a syntax fault gives line and column, and does not repeat the text', (t) => {
  const fault = parseToml('name = "yard"\nsecret = = 5')._unsafeUnwrapErr();
  t.is(fault.kind, SettingsFaultKind.Syntax);
  t.deepEqual([fault.line, fault.column], [2, 10]);
  t.notRegex(fault.message, /secret/);
});
