/** Steps that the tests of control on virtual time share. */
import type { ExecutionContext } from 'ava';
import { createControlInstallation, type ControlInstallation } from '../controlInstallation.js';

export const settleMilliseconds = 10_000;

export const createSettled = (options: Parameters<typeof createControlInstallation>[0] = {}) => {
  const installation = createControlInstallation(options);
  installation.runFor(settleMilliseconds);
  return installation;
};

export const otherVoter = (installation: ControlInstallation, than: string): string =>
  installation.voterNames.find((name) => name !== than)!;

/** Proposes on a daemon every 10 ms. */
export const proposeStream = (
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

export const assertWhole = (t: ExecutionContext, installation: ControlInstallation): void => {
  t.deepEqual(installation.history.violations(), []);
  installation
    .runningNames()
    .forEach((name) => t.deepEqual(installation.missingAt(name), [], `missing at ${name}`));
};
