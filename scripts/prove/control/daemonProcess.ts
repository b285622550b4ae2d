/**
 * Runs one daemon of a proof as a process, which handles the requests that arrive over the IPC channel of
 * its parent process and exits when the channel closes.
 * Arguments: deployment file, name of the daemon, address of the upstream that receives orders.
 */
import { asBrand } from '../../../src/base/common/brand.js';
import { dispatchByKind, type HandlerTable } from '../../../src/base/common/handlers.js';
import { monotonicClock } from '../../../src/base/node/monotonicClock.js';
import { openDaemon } from '../../../src/daemon/main/node/daemon.js';
import { createLog } from '../../../src/infrastructure/log/node/log.js';
import { RowReader } from '../../../src/infrastructure/tables/common/rowReader.js';
import { loadInstallation } from '../../../src/service/configuration/node/loadInstallation.js';
import type { Command } from '../../../src/service/consensus/common/command.js';
import type { ProposalId } from '../../../src/service/consensus/common/consensusTables.js';
import { canActAsLeader } from '../../../src/service/consensus/common/lease.js';
import type { ControlRequest, ControlReport } from './controlMessages.js';

const proposalTimeoutMilliseconds = 10_000;
const announcementLifetimeMilliseconds = 3_600_000;
const microsecondsPerMillisecond = 1_000;
const noopCommand: Command = { kind: 'leadershipTaken', leader: 'none' };

const [file = '', name = '', upstreamAddress = ''] = process.argv.slice(2);
const sendReport = (report: ControlReport): void => {
  process.send!(report);
};

const installation = loadInstallation(file)._unsafeUnwrap();
const opened = await openDaemon({ ...installation, name, log: createLog(name, 'error') });
const { world, wake, onDidTick, sentBytes } = opened._unsafeUnwrap();

world.arrivedAnnouncements.append({
  isDirect: false,
  announcement: {
    upstream: 'engine',
    kind: 'engine',
    service: 'planner-lm',
    address: upstreamAddress,
    zone: 'gp-north',
    incarnation: 1,
    state: 'serving',
    models: [],
    adapters: [],
    weightVersion: null,
    reclaimable: false,
    checksFencing: false,
    resumesStreams: false,
    slots: 1,
    running: 0,
    remaining: announcementLifetimeMilliseconds,
  },
});

const proposedAt = new Map<string, number>();
const outcomeChanges = world.proposalOutcomes.createChangeReader(RowReader.Port);

const reportOutcome = (id: ProposalId): void => {
  const startedAt = proposedAt.get(id);
  const row = world.proposalOutcomes.get(id);
  if (startedAt === undefined || row === undefined) return;
  proposedAt.delete(id);
  sendReport({
    kind: 'outcome',
    id,
    outcome: row.outcome.kind,
    milliseconds: monotonicClock() - startedAt,
  });
};
onDidTick(() => outcomeChanges.take().forEach(reportOutcome));

const propose = (id: string, command: Command): void => {
  const now = monotonicClock();
  proposedAt.set(id, now);
  const proposalDeadline = now + proposalTimeoutMilliseconds;
  world.proposals.append({ id: asBrand(id), command, proposalDeadline });
  wake();
};

const requestHandlers: HandlerTable<ControlRequest, void> = {
  propose: ({ id }) => propose(id, noopCommand),
  proposeOrder: ({ id, order }) =>
    propose(id, {
      kind: 'orderIntended',
      order,
      upstream: 'engine',
      action: 'loadWeights',
      target: 1,
    }),
  status: () => {
    const { user, system } = process.cpuUsage();
    sendReport({
      kind: 'status',
      acting: canActAsLeader(world, monotonicClock()),
      sentBytes: sentBytes(),
      residentBytes: process.memoryUsage().rss,
      processorMilliseconds: (user + system) / microsecondsPerMillisecond,
    });
  },
  remembered: ({ ids }) =>
    sendReport({
      kind: 'remembered',
      missing: ids.filter((id) => !world.rememberedOutcomes.has(asBrand(id))),
    }),
};

process.on('message', (request: ControlRequest) => dispatchByKind(requestHandlers, request));
process.on('disconnect', () => process.exit(0));
sendReport({ kind: 'ready' });
