/**
 * What a proof says to the processes of its daemons and hears from them, over the channel between a
 * process and the one that started it.
 */

/** What a daemon's process is asked. */
export type ControlRequest =
  | { readonly kind: 'propose'; readonly id: string }
  | { readonly kind: 'proposeOrder'; readonly id: string; readonly order: string }
  | { readonly kind: 'status' }
  | { readonly kind: 'remembered'; readonly ids: readonly string[] };

/** What it says. */
export type ControlReport =
  | { readonly kind: 'ready' }
  | {
      readonly kind: 'outcome';
      readonly id: string;
      readonly outcome: string;
      /** From the proposal to its outcome on this daemon. */
      readonly milliseconds: number;
    }
  | {
      readonly kind: 'status';
      readonly acting: boolean;
      readonly sentBytes: number;
      readonly residentBytes: number;
      readonly processorMilliseconds: number;
    }
  /** Which of the proposals it has not applied. */
  | { readonly kind: 'remembered'; readonly missing: readonly string[] };
