/**
 * The result format of the proofs that run real processes: measured values, and whether each one meets its
 * requirement.
 */

/** One measured value of a proof. */
export interface ProofResult {
  readonly name: string;
  readonly value: number;
  /** Whether the value meets its requirement. */
  readonly isMet: boolean;
}

/** Runs a proof and returns its results; a proof starts its processes and kills them at the end. */
export type Proof = () => Promise<readonly ProofResult[]>;
