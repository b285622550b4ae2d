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
  readonly sent: () => number;
  /** Ends the stream after what is under way has had time to end. */
  readonly end: () => Promise<void>;
}

const endMilliseconds = 2_000;

/** Starts to send one proposal every `interval` milliseconds. */
export const startProposalStream = (
  target: ControlProcess,
  prefix: string,
  interval: number,
): ProposalStream => {
  const accepted: AcceptedProposal[] = [];
  const sentAt = new Map<string, number>();

  target.onReport((report) => {
    if (report.kind !== 'outcome' || report.outcome !== 'applied') return;
    const sent = sentAt.get(report.id);
    if (sent === undefined) return;
    const { id, milliseconds } = report;
    accepted.push({ id, sentAt: sent, acceptedAt: performance.now(), milliseconds });
  });

  const timer = setInterval(() => {
    const id = `${prefix}-${sentAt.size}`;
    sentAt.set(id, performance.now());
    target.ask({ kind: 'propose', id });
  }, interval);

  return {
    accepted,
    sent: () => sentAt.size,
    end: async () => {
      clearInterval(timer);
      await delay(endMilliseconds);
    },
  };
};
