import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import { encodeFrame } from '../../../../infrastructure/wire/node/frames.js';
import { testEngine } from '../../../../../standins/virtual/fleetFixture.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { selectEntryAddresses } from '../../../advice/common/adviseEntries.js';
import { Profile } from '../../../core/common/core.js';
import { DaemonState } from '../../common/membershipTables.js';

const controlDaemons = 6;
const engines = 12;
const warmUpMilliseconds = 6_000;
const observedMilliseconds = 3_000;
const reportIntervalMilliseconds = 1_200;

interface Traffic {
  messages: number;
  bytes: number;
}

interface Fleet {
  readonly installation: VirtualInstallation;
  /** Messages that each daemon sent or received per second of the last observation. */
  readonly observe: () => ReadonlyMap<string, Traffic>;
}

/** Six control daemons with only that role, and entries; engines report to the control daemons. */
const createFleet = (entries: number): Fleet => {
  const listed = createTestDeployment(controlDaemons + entries, controlDaemons);
  const daemons = listed.daemons.map((daemon, index) => ({
    ...daemon,
    roles: [index < controlDaemons ? ('control' as const) : ('entry' as const)],
  }));
  const traffic = new Map<string, Traffic>();

  const count = (name: string, bytes: number): void => {
    const row = traffic.get(name) ?? { messages: 0, bytes: 0 };
    traffic.set(name, { messages: row.messages + 1, bytes: row.bytes + bytes });
  };

  const installation = createVirtualInstallation({
    deployment: {
      ...listed,
      daemons,
      discovery: Discovery.Announced,
      timing: { ...listed.timing, heartbeatMilliseconds: 500, suspicionMilliseconds: 1_700 },
    },
    tree: createTestTree(),
    seed: 5,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 5 },
    onDidSendMessage: (from, to, message) => {
      const { length } = encodeFrame({
        from,
        stamp: { wall: 0, counter: 0 },
        message,
      })._unsafeUnwrap();
      count(from, length);
      count(to, length);
    },
  });

  const report = (engine: number, sequence: number): void => {
    const to = `d${(engine % controlDaemons) + 1}`;
    const registration = testEngine(`e${engine}`, { startedAt: -1, sequence });
    installation
      .daemon(to)
      .core.world.arrivedRegistrations.append({ registration, isDirect: true });
    installation.wake(to);
    installation.schedule(reportIntervalMilliseconds, () => report(engine, sequence + 1));
  };

  Array.from({ length: engines }, (_, engine) => report(engine + 1, 1));
  installation.runFor(warmUpMilliseconds);
  return {
    installation,
    observe: () => {
      traffic.clear();
      installation.runFor(observedMilliseconds);
      return traffic;
    },
  };
};

const largestOf = (
  traffic: ReadonlyMap<string, Traffic>,
  isIncluded: (name: string) => boolean,
  column: keyof Traffic,
): number =>
  (Math.max(...[...traffic].filter(([name]) => isIncluded(name)).map(([, row]) => row[column])) *
    1_000) /
  observedMilliseconds;

const isControl = (name: string): boolean => Number(name.slice(1)) <= controlDaemons;
const isEntry = (name: string): boolean => !isControl(name);

test('the control traffic of an idle entry does not grow with the number of entries', (t) => {
  const small = createFleet(6).observe();
  const large = createFleet(30).observe();
  const messages = largestOf(large, isEntry, 'messages');
  const bytes = largestOf(large, isEntry, 'bytes');
  t.log(`entry: ${messages.toFixed(1)} messages/s, ${bytes.toFixed(0)} B/s`);
  t.log(
    `control: ${largestOf(small, isControl, 'messages').toFixed(1)} -> ` +
      `${largestOf(large, isControl, 'messages').toFixed(1)} messages/s, ` +
      `${largestOf(small, isControl, 'bytes').toFixed(0)} -> ` +
      `${largestOf(large, isControl, 'bytes').toFixed(0)} B/s`,
  );
  // An entry exchanges heartbeats with three control daemons and the leader, and follows one.
  t.true(messages < 24, `${messages} messages a second`);
  t.true(bytes < 6_000, `${bytes} bytes a second`);
  t.true(messages < 1.5 * largestOf(small, isEntry, 'messages'));
});

test('entries learn upstreams, other entries and changes through their contacts', (t) => {
  const { installation } = createFleet(12);
  const worldOf = (name: string) => installation.daemon(name).core.world;
  const entryNames = installation.runningNames().filter(isEntry);

  entryNames.forEach((name) => {
    const world = worldOf(name);
    t.is(world.registrations.size(), engines, `${name} knows all upstreams`);
    t.true(world.advisedEntries.size() > 0, `${name} can advise entries`);
    t.true(selectEntryAddresses(world, { zone: 'z1', region: 'r1' }).length > 0);
  });

  worldOf('d1').arrivedDepartures.append({ upstream: 'e6', startedAt: null });
  installation.wake('d1');
  installation.runFor(50);
  entryNames.forEach((name) =>
    t.false(worldOf(name).registrations.has(asBrand('e6')), `${name} knows the departure`),
  );
});

test('an entry whose contacts are lost finds others, and notices their return', (t) => {
  const { installation } = createFleet(6);
  const name = 'd9';
  const { world } = installation.daemon(name).core;
  const contacts = [...world.daemons.rows()].filter(
    ({ isContact, isSelf }) => isContact && !isSelf,
  );
  t.true(contacts.length <= 4, `${contacts.length} contacts`);
  const [lost] = contacts;
  installation.cut(name, lost!.id);
  installation.runFor(3_000);
  t.is(world.daemons.get(lost!.id)!.state, DaemonState.Suspected);
  const alive = [...world.daemons.rows()].filter(
    ({ isContact, isSelf, state }) => isContact && !isSelf && state === DaemonState.Alive,
  );
  t.true(alive.length >= 3, `${alive.length} responsive contacts`);
  t.is(world.registrations.size(), engines);

  installation.heal(name, lost!.id);
  installation.runFor(2_000);
  t.is(world.daemons.get(lost!.id)!.state, DaemonState.Alive);
});

test('an upstream that stops reporting is removed from entries', (t) => {
  const { installation } = createFleet(6);
  const { world } = installation.daemon('d9').core;
  const silent = testEngine('e99', { startedAt: -1, sequence: 1 });
  installation
    .daemon('d2')
    .core.world.arrivedRegistrations.append({ registration: silent, isDirect: true });
  installation.wake('d2');
  installation.runFor(2_000);
  t.true(world.registrations.has(asBrand('e99')));
  installation.runFor(7_000);
  t.false(world.registrations.has(asBrand('e99')));
  t.is(world.registrations.size(), engines);
});

test('a leaving entry is no longer advised by any entry after a short time', (t) => {
  const { installation } = createFleet(12);
  const leaving = installation.daemon('d9').core.world;
  const advisers = (): string[] =>
    installation
      .runningNames()
      .filter((name) => isEntry(name) && name !== 'd9')
      .filter((name) => installation.daemon(name).core.world.advisedEntries.has(asBrand('d9')));
  t.true(advisers().length > 0);
  leaving.setLeaving();
  installation.wake('d9');
  installation.runFor(400);
  t.deepEqual(advisers(), []);
});
