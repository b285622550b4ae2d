/**
 * Edits of the settings tree for tests on virtual time, proposed as an entry proposes them.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { deadlineAfter } from '../../src/base/common/time.js';
import type { EditCommand } from '../../src/service/configuration/common/configurationCommands.js';
import type { JsonValue } from '../../src/service/configuration/common/treePath.js';
import type { VirtualInstallation } from './virtualInstallation.js';

const proposalTimeoutMilliseconds = 5_000;
let proposalCount = 0;

/** An edit that sets the value at a path. */
export const putEdit = (
  request: string,
  expectedRevision: number,
  path: string,
  value: JsonValue,
): EditCommand => ({
  kind: 'treeSet',
  request,
  operator: 'tester',
  content: JSON.stringify([path, value, expectedRevision]),
  path,
  change: { kind: 'put', value: value as never },
  expectedRevision,
});

/** An edit that withdraws a key of a workspace. */
export const withdrawKeyEdit = (request: string, workspace: string, name: string): EditCommand => ({
  kind: 'keyWithdraw',
  request,
  operator: 'tester',
  content: JSON.stringify([workspace, name]),
  workspace,
  name,
});

/** Proposes an edit at a daemon under a new proposal identifier and ticks the daemon. */
export const propose = (
  installation: VirtualInstallation,
  daemon: string,
  command: EditCommand,
): void => {
  proposalCount += 1;
  installation.daemon(daemon).core.world.proposals.append({
    id: asBrand(`test-${proposalCount}`),
    command,
    proposalDeadline: deadlineAfter(installation.now(), proposalTimeoutMilliseconds),
  });
  installation.wake(daemon);
};
