/**
 * A stand-in for the usage report service of the platform. It records every report, refuses a
 * second report of the same window with different figures, and refuses senders with an older
 * fencing token.
 */
import { Hono } from 'hono';
import { asBrand, type Brand } from '../../src/base/common/brand.js';
import { createTable } from '../../src/infrastructure/tables/common/table.js';
import {
  usageReportSchema,
  usageReportsPath,
  type UsageReport,
} from '../../src/service/protocol/common/platformProtocol.js';
import { createFencingCheck, createFencingRefusal } from '../common/fencing.js';
import { cutConnection, listen, type StandInEnvironment } from '../common/httpListener.js';
import { parseJson } from '../common/json.js';
import { createFaultScript, FaultScope, type FaultScriptEntry } from '../faults/faultScript.js';
import { planOf } from '../faults/faults.js';

/** Settings of a usage stand-in. */
export interface UsageSettings {
  /** Port to listen on; 0 selects a free port. */
  readonly port: number;
  readonly checksFencing: boolean;
  readonly faults: readonly FaultScriptEntry[];
}

const defaultUsageSettings: UsageSettings = { port: 0, checksFencing: true, faults: [] };

/** The outcome of a report. */
export type UsageOutcome =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'repeated' }
  | { readonly kind: 'differentFigures'; readonly message: string }
  | ReturnType<typeof createFencingRefusal>;

/** A received report with its outcome; rows are in the order of arrival. */
export interface ReceivedReportRow extends UsageReport {
  readonly id: Brand<'receivedReport'>;
  readonly outcome: UsageOutcome['kind'];
}

/** A running usage stand-in. */
export interface UsageStandIn {
  /** Base address. */
  readonly address: string;
  readonly counters: () => Readonly<Record<UsageOutcome['kind'], number>>;
  /** Every received report, including repeated and refused ones. */
  readonly received: () => readonly ReceivedReportRow[];
  /** The accepted reports: one for each window of a workspace. */
  readonly accepted: () => readonly UsageReport[];
  readonly addFault: (entry: FaultScriptEntry) => void;
  readonly dispose: () => Promise<void>;
}

interface AcceptedReportRow extends UsageReport {
  readonly id: Brand<'acceptedReport'>;
}

const outcomeStatuses = {
  accepted: 200,
  repeated: 200,
  differentFigures: 409,
  olderFencing: 409,
} as const;

const windowIdOf = ({ workspace, window }: UsageReport): AcceptedReportRow['id'] =>
  asBrand(JSON.stringify([workspace, window]));

/** Serializes the figures of a report for comparison, without the fencing token of the sender. */
const serializeFigures = (report: UsageReport): string =>
  JSON.stringify([
    report.promptTokens,
    report.completionTokens,
    report.requests,
    report.adjustments.map((each) => [
      each.window,
      each.promptTokens,
      each.completionTokens,
      each.requests,
    ]),
  ]);

/** Starts a usage stand-in. */
export const startUsage = async (overrides: Partial<UsageSettings> = {}): Promise<UsageStandIn> => {
  const settings: UsageSettings = { ...defaultUsageSettings, ...overrides };
  const fencing = createFencingCheck(settings.checksFencing);
  const script = createFaultScript(settings.faults);
  const received = createTable<ReceivedReportRow, 'outcome'>({
    name: 'receivedReports',
    indices: { outcome: (row) => row.outcome },
    deadlines: {},
  });
  const accepted = createTable<AcceptedReportRow>({
    name: 'acceptedReports',
    indices: {},
    deadlines: {},
  });

  const handleReport = (report: UsageReport): UsageOutcome => {
    if (!fencing.admits(report.fencing))
      return createFencingRefusal(report.fencing, fencing.highest());
    const acceptedReport = accepted.get(windowIdOf(report));
    if (acceptedReport === undefined) {
      accepted.put({ ...report, id: windowIdOf(report) });
      return { kind: 'accepted' };
    }
    if (serializeFigures(acceptedReport) === serializeFigures(report)) return { kind: 'repeated' };
    const message = `Window ${report.window} was reported with different figures; resend the original.`;
    return { kind: 'differentFigures', message };
  };

  const application = new Hono<StandInEnvironment>();
  application.post(usageReportsPath, async (context) => {
    const report = usageReportSchema.safeParse(parseJson(await context.req.text()));
    if (!report.success) {
      return context.json(
        {
          kind: 'badRequest',
          message: `The report is invalid; correct it: ${report.error.message}`,
        },
        400,
      );
    }
    const number = received.size() + 1;
    const fault = script.takeFault(FaultScope.Order, number, report.data.window);
    const outcome = handleReport(report.data);
    received.put({ ...report.data, id: asBrand(String(number)), outcome: outcome.kind });
    if (planOf(fault).losesAnswer) return cutConnection(context.env);
    return context.json(outcome, outcomeStatuses[outcome.kind]);
  });
  const listener = await listen(application, settings.port);

  return {
    address: listener.address,
    counters: () => ({
      accepted: received.count('outcome', 'accepted'),
      repeated: received.count('outcome', 'repeated'),
      differentFigures: received.count('outcome', 'differentFigures'),
      olderFencing: received.count('outcome', 'olderFencing'),
    }),
    received: () => [...received.rows()],
    accepted: () => [...accepted.rows()],
    addFault: script.add,
    dispose: listener.dispose,
  };
};
