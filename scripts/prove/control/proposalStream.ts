/**
 * Sends proposals to one daemon at a constant rate and records those that were accepted.
 */
import { delay } from '../../../src/base/node/delay.js';
import type { ControlProcess } from './controlProcesses.js';

/** An accepted proposal. */
export interface AcceptedProposal {
  readonly id: string;
  /** Instants at which it was sent and its outcome arrived, by the clock of this process. */
  readonly sentAt: number;
  readonly acceptedAt: number;
  /** Time from the proposal to its outcome, by the clock of the daemon. */
  readonly milliseconds: number;
}

/** A running stream of proposals; `sentCount` returns the number sent so far. */
export interface ProposalStream {
  readonly accepted: readonly AcceptedProposal[];
  readonly sentCount: () => number;
  /** Stops sending, and resolves 2 seconds later, when pending proposals have had time to complete. */
  readonly end: () => Promise<void>;
}

const completionWaitMilliseconds = 2_000;

/** Starts sending one proposal every `interval` milliseconds, with identifiers that start with `prefix`. */
export const startProposalStream = (
  target: ControlProcess,
  prefix: string,
  interval: number,
): ProposalStream => {
  const accepted: AcceptedProposal[] = [];
  const sentAtById = new Map<string, number>();

  target.onDidReport((report) => {
    if (report.kind !== 'outcome' || report.outcome !== 'applied') return;
    const sentAt = sentAtById.get(report.id);
    if (sentAt === undefined) return;
    const { id, milliseconds } = report;
    accepted.push({ id, sentAt, acceptedAt: performance.now(), milliseconds });
  });

  const timer = setInterval(() => {
    const id = `${prefix}-${sentAtById.size}`;
    sentAtById.set(id, performance.now());
    target.sendRequest({ kind: 'propose', id });
  }, interval);

  return {
    accepted,
    sentCount: () => sentAtById.size,
    end: async () => {
      clearInterval(timer);
      await delay(completionWaitMilliseconds);
    },
  };
};
