/**
 * What counts as evidence that a process ended under a call, and what does not.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
} from '../../../../../standins/virtual/fleetFixture.js';
import type { CallId } from '../../../forwarding/common/forwardingTables.js';
import { RegistrationState } from '../../../registry/common/registryTables.js';
import { AddressState } from '../../common/quarantineTables.js';

const evidenceMilliseconds = 10_000;
const reportMilliseconds = 1_000;
const silenceMilliseconds = 400;
const worker = testEngine('e1', { service: 'yard-app', models: [] });

type Step = (core: FleetCore) => void;

const report =
  (columns: Partial<typeof worker>): Step =>
  (core) => {
    const sequence = core.now();
    core.world.arrivedRegistrations.append({
      registration: { ...worker, sequence, ...columns },
      isDirect: false,
    });
    core.settle();
  };

const findAddress =
  (state: AddressState): Step =>
  (core) => {
    core.world.addressFacts.append({ address: worker.address, state });
    core.settle();
  };

const breakConnection: Step = (core) => {
  const [send] = core.world.sends.where('call', 'c1');
  core.world.sendFacts.append({ kind: 'broken', send: send!.id, reason: 'ECONNRESET' });
  core.settle();
};

const stayUnanswered: Step = (core) => core.runFor(silenceMilliseconds);

const depart: Step = (core) => {
  core.world.arrivedDepartures.append({ upstream: 'e1', startedAt: worker.startedAt });
  core.settle();
};

const stopReports: Step = (core) => core.runFor(evidenceMilliseconds);

const goOnReporting: Step = (core) => {
  for (let passed = 0; passed < evidenceMilliseconds; passed += reportMilliseconds) {
    report({})(core);
    core.runFor(reportMilliseconds);
  }
};

const { Accepting, Refusing, Unclear } = AddressState;
const laterStart = { startedAt: worker.startedAt + 1 };

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly ends: number;
}

const cases: readonly Case[] = [
  { name: 'a refused connection', steps: [breakConnection, findAddress(Refusing)], ends: 1 },
  {
    name: 'a later start with the same identifier',
    steps: [breakConnection, findAddress(Accepting), report(laterStart)],
    ends: 1,
  },
  {
    name: 'a later start at the same address',
    steps: [breakConnection, report({ ...laterStart, upstream: 'e2' })],
    ends: 1,
  },
  {
    name: 'a later start after silence',
    steps: [stayUnanswered, report({ ...laterStart, upstream: 'e2' })],
    ends: 1,
  },
  {
    name: 'reports that stopped',
    steps: [breakConnection, findAddress(Unclear), stopReports],
    ends: 1,
  },
  {
    name: 'reports that stopped although the address accepts connections',
    steps: [breakConnection, findAddress(Accepting), stopReports],
    ends: 0,
  },
  { name: 'reports that stopped after silence', steps: [stayUnanswered, stopReports], ends: 0 },
  {
    name: 'a process that goes on reporting',
    steps: [breakConnection, findAddress(Unclear), goOnReporting],
    ends: 0,
  },
  {
    name: 'a refused connection after an announced departure',
    steps: [breakConnection, depart, findAddress(Refusing)],
    ends: 0,
  },
  {
    name: 'a refused connection of a draining process',
    steps: [report({ state: RegistrationState.Draining }), breakConnection, findAddress(Refusing)],
    ends: 0,
  },
];

cases.forEach(({ name, steps, ends }) =>
  test(`${name} ${ends === 0 ? 'is no evidence' : 'is evidence'} that a process ended`, (t) => {
    const core = createFleetCore();
    core.propose('declare', testDeclarationCommand());
    report({})(core);
    core.world.arrivedCalls.append({
      id: asBrand<CallId>('c1'),
      requestId: 'c1',
      host: 'yard.example',
      path: '/book/slot',
      key: 'key-1',
      digest: 'content',
      remaining: 2_000,
      isInternal: false,
      urgency: [],
      takesUp: null,
    });
    core.settle();
    steps.forEach((step) => step(core));
    t.is(core.world.crashRecords.get(asBrand('yard|content'))?.ends.length ?? 0, ends);
    core.runFor(evidenceMilliseconds);
    t.is(core.world.suspicions.size(), 0);
  }),
);
