/** Deployment files: all faults are reported together, and each cross check finds its fault. */
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

/** Creates a deployment of a control daemon and an entry, with the given settings replaced. */
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

test('a valid deployment is accepted and gets default values', (t) => {
  const deployment = checkDeployment(createDeployment())._unsafeUnwrap();
  t.is(deployment.timing.heartbeatMilliseconds, 1_000);
});

test('all schema faults are reported together, each with its kind', (t) => {
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

test('an unknown key is a fault and does not prevent the cross checks', (t) => {
  const document = createDeployment({}, { name: 'daemon-0' }, { colour: 'red' });
  t.deepEqual(faultsOf(document), ['unknownKey colour', 'repeated daemons[1].name']);
});

test('a key that would access the prototype of an object is reported once', (t) => {
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

/** Documents for the cross checks, each with its expected fault, if any. */
const crossChecks: Readonly<Record<string, readonly [object, string?]>> = {
  'a duplicate name': [withSecondDaemon({ name: 'daemon-0' }), 'repeated daemons[1].name'],
  'an address of two daemons': [
    withSecondDaemon({ callerAddress: '127.0.0.1:7200' }),
    'repeated daemons[1].callerAddress',
  ],
  'an address twice in one daemon': [
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
  'IP address part 256': [withMetricsAddress('127.0.0.256:8125'), 'outOfRange metricsAddress'],
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
  'a control daemon without the entry role': [withFirstDaemon({ roles: ['control'] })],
  'a zone in two regions': [
    withSecondDaemon({ zone: 'zone-0', region: 'south' }),
    'conflict daemons[1].region',
  ],
  'suspicion before three heartbeats': [
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

test('a syntax fault has line and column and does not quote the text', (t) => {
  const fault = parseToml('name = "yard"\nsecret = = 5')._unsafeUnwrapErr();
  t.is(fault.kind, SettingsFaultKind.Syntax);
  t.deepEqual([fault.line, fault.column], [2, 10]);
  t.notRegex(fault.message, /secret/);
});
