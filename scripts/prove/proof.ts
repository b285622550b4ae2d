/**
 * The result format of the proofs that run real processes: measured values, and whether each one meets its
 * requirement.
 */
export interface ProofResult {
  readonly name: string;
  readonly value: number;
  readonly isMet: boolean;
}

/** Runs a proof and returns its results; a proof starts its processes and kills them at the end. */
export type Proof = () => Promise<readonly ProofResult[]>;
