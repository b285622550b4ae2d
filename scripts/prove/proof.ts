/**
 * What a proof with real processes says: figures, and whether each is as it must be.
 */
export interface ProofResult {
  readonly name: string;
  readonly value: number;
  readonly holds: boolean;
}

/** A proof by name; it starts its processes and ends them. */
export type Proof = () => Promise<readonly ProofResult[]>;
