/** Steps shared by the tests of control on virtual time. */
import type { ExecutionContext } from 'ava';
import { createControlInstallation, type ControlInstallation } from '../controlInstallation.js';

export const settleMilliseconds = 10_000;

export const createSettledInstallation = (
  options: Parameters<typeof createControlInstallation>[0] = {},
) => {
  const installation = createControlInstallation(options);
  installation.runFor(settleMilliseconds);
  return installation;
};

export const otherVoter = (installation: ControlInstallation, excluded: string): string =>
  installation.voterNames.find((name) => name !== excluded)!;

/** Proposes `count` commands at a daemon, one every 10 ms. */
export const proposeRepeatedly = (
  installation: ControlInstallation,
  daemon: string,
  prefix: string,
  count: number,
): void => {
  for (let position = 0; position < count; position += 1) {
    installation.propose(daemon, `${prefix}-${position}`);
    installation.runFor(10);
  }
};

export const assertConsistent = (t: ExecutionContext, installation: ControlInstallation): void => {
  t.deepEqual(installation.history.violations(), []);
  installation
    .runningNames()
    .forEach((name) =>
      t.deepEqual(installation.missingProposalsAt(name), [], `missing at ${name}`),
    );
};
