/**
 * A steady stream of proposals to one daemon, with what became of each.
 */
import { delay } from '../../../src/base/node/delay.js';
import type { ControlProcess } from './controlProcesses.js';

/** A proposal that was accepted. */
export interface AcceptedProposal {
  readonly id: string;
  /** When it was sent and when its outcome came, by the clock of this process. */
  readonly sentAt: number;
  readonly acceptedAt: number;
  /** From the proposal to the outcome, by the clock of the daemon. */
  readonly milliseconds: number;
}

export interface ProposalStream {
  readonly accepted: readonly AcceptedProposal[];
  readonly sentCount: () => number;
  /** Ends the stream after what is under way has had time to end. */
  readonly end: () => Promise<void>;
}

const completionWaitMilliseconds = 2_000;

/** Starts to send one proposal every `interval` milliseconds. */
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
