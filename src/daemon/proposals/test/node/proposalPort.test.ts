/**
 * Guards against a proposal that is sent again and gets no answer: after a time without a leader, and
 * after the log has rejected it.
 */
import test from 'ava';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import type { Milliseconds } from '../../../../base/common/time.js';
import { createControlHistory } from '../../../../../standins/virtual/controlHistory.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import type { ProposalOutcome } from '../../../../service/consensus/common/consensusTables.js';
import { Profile } from '../../../../service/core/common/core.js';
import type { DeclarationSet } from '../../../../service/declaration/common/declarationCommands.js';
import { createProposalPort, type ProposalPort } from '../../node/proposalPort.js';

const voters = ['d1', 'd2', 'd3'];
/** Timeout of the proposals of an operator. */
const proposalTimeoutMilliseconds = 2_500;
/** Longer than the timeout of a proposal and than an election. */
const settleMilliseconds = 5_000;
/** The operator asks the next daemon after a second without an answer. */
const answerMilliseconds = 1_000;

interface PortFixture {
  readonly installation: VirtualInstallation;
  readonly violations: () => readonly string[];
  /** Stops the other voters, and waits until no leader is known. */
  readonly stopOthers: (name: string) => readonly string[];
  /** Proposes a declaration at a daemon, and returns the outcome that it has after a time. */
  readonly proposeFor: (
    name: string,
    command: DeclarationSet,
    duration: Milliseconds,
  ) => Promise<ProposalOutcome | undefined>;
}

const openPortFixture = (): PortFixture => {
  let created: VirtualInstallation | undefined;
  const history = createControlHistory(() => created);
  const ports = new Map<string, ProposalPort>();
  const installation = createVirtualInstallation({
    deployment: { ...createTestDeployment(3, 3), discovery: Discovery.Announced },
    tree: createTestTree(),
    seed: 1,
    profile: Profile.Declaration,
    voters: () => voters,
    ports: [
      history.createPort,
      ({ daemon, now }) => {
        const wake = (): void => created?.wake(daemon.name);
        const port = createProposalPort(daemon.core.world, now, wake);
        ports.set(daemon.name, port);
        return port;
      },
    ],
  });
  created = installation;
  installation.runFor(settleMilliseconds);
  return {
    installation,
    violations: history.violations,
    stopOthers: (name) => {
      const others = voters.filter((voter) => voter !== name);
      others.forEach(installation.stop);
      installation.runFor(settleMilliseconds);
      return others;
    },
    proposeFor: async (name, command, duration) => {
      const id = `declaration/${command.version}/${command.digest}`;
      const outcomes: ProposalOutcome[] = [];
      void ports
        .get(name)!
        .propose(id, command, proposalTimeoutMilliseconds)
        .then((outcome) => outcomes.push(outcome));
      installation.runFor(duration);
      await new Promise(setImmediate);
      return outcomes[0];
    },
  };
};

voters.forEach((name) => {
  test(`a change that ${name} refused for want of a leader is refused again while there is none`, async (t) => {
    const { proposeFor, stopOthers } = openPortFixture();
    stopOthers(name);
    const refused = await proposeFor(name, testDeclarationCommand(1), settleMilliseconds);
    t.like(refused, { kind: 'rejected', rejection: { kind: 'noLeader' } });
    const again = await proposeFor(name, testDeclarationCommand(1), settleMilliseconds);
    t.like(again, { kind: 'rejected', rejection: { kind: 'noLeader' } });
  });

  test(`a change that ${name} refused for want of a leader is acknowledged once there is one`, async (t) => {
    const { installation, proposeFor, stopOthers, violations } = openPortFixture();
    const others = stopOthers(name);
    const refused = await proposeFor(name, testDeclarationCommand(1), settleMilliseconds);
    t.like(refused, { kind: 'rejected', rejection: { kind: 'noLeader' } });
    others.forEach(installation.start);
    installation.runFor(settleMilliseconds);
    const applied = await proposeFor(name, testDeclarationCommand(1), answerMilliseconds);
    t.is(applied?.kind, 'applied');
    t.deepEqual(violations(), []);
  });

  test(`a change that the log has rejected is rejected again when it is sent to ${name}`, async (t) => {
    const { proposeFor, violations } = openPortFixture();
    const first = await proposeFor(name, testDeclarationCommand(1), answerMilliseconds);
    t.is(first?.kind, 'applied');
    const other = testDeclarationCommand(1, 'other');
    const sender = voters[0]!;
    const rejected = await proposeFor(sender, other, answerMilliseconds);
    t.like(rejected, { kind: 'rejected', rejection: { kind: 'versionHeld' } });
    const again = await proposeFor(name, other, answerMilliseconds);
    t.like(again, { kind: 'rejected', rejection: { kind: 'versionHeld' } });
    t.deepEqual(violations(), []);
  });
});
