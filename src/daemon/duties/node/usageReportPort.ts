/**
 * Sends usage reports that systems have marked as in flight and reports each result to
 * `reportFacts`. A report is sent only while this daemon holds the leader lease.
 */
import type { Disposable } from '../../../base/common/disposable.js';
import type { Clock } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { canActWithToken } from '../../../service/consensus/common/lease.js';
import type {
  UsageReportRow,
  UsageWindowId,
} from '../../../service/metering/common/meteringTables.js';
import type { World } from '../../../service/world/common/world.js';

/**
 * Sends one report under the sender name `holder`, if `isAllowed` returns true right before the first
 * byte is written; resolves to null if it was accepted, otherwise to the failure reason.
 */
export type SendUsageReport = (
  report: UsageReportRow,
  holder: string,
  isAllowed: () => boolean,
) => Promise<string | null>;

/** Sends usage reports; `drain` runs after each tick. */
export interface UsageReportPort extends Disposable {
  readonly drain: () => void;
}

/** Creates the port. `wake` requests a tick. */
export const createUsageReportPort = (
  world: World,
  sendReport: SendUsageReport,
  clock: Clock,
  wake: () => void,
): UsageReportPort => {
  const changes = world.usageReports.createChangeReader(RowReader.Port);

  const reportFailure = (window: number, reason: string): void => {
    world.reportFacts.append({ kind: 'failed', window, reason });
    wake();
  };

  const send = async (report: UsageReportRow): Promise<void> => {
    const { window, fencing } = report;
    const isAllowed = (): boolean => canActWithToken(world, fencing, clock());
    if (!isAllowed()) {
      reportFailure(window, 'this daemon no longer holds the leader lease');
      return;
    }
    const failureReason = await sendReport(report, world.fleet.holder, isAllowed);
    if (failureReason !== null) reportFailure(window, failureReason);
    else {
      world.reportFacts.append({ kind: 'accepted', window });
      wake();
    }
  };

  const handleChange = (id: UsageWindowId): void => {
    const report = world.usageReports.get(id);
    if (report?.isInFlight === true) void send(report);
  };

  return { drain: () => changes.take().forEach(handleChange), dispose: changes.dispose };
};
