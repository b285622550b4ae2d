/**
 * The messages between a proof and the processes of its daemons, over the IPC channel of Node.js between
 * parent and child process.
 */

/** Requests to the process of a daemon; `remembered` checks which proposals it has applied. */
export type ControlRequest =
  | { readonly kind: 'propose'; readonly id: string }
  | { readonly kind: 'proposeOrder'; readonly id: string; readonly order: string }
  | { readonly kind: 'status' }
  | { readonly kind: 'remembered'; readonly ids: readonly string[] };

/** Reports of the process of a daemon; `ready` follows its start, and the others answer requests. */
export type ControlReport =
  | { readonly kind: 'ready' }
  | {
      readonly kind: 'outcome';
      readonly id: string;
      readonly outcome: string;
      /** Time from the proposal to its outcome on this daemon. */
      readonly milliseconds: number;
    }
  | {
      readonly kind: 'status';
      readonly acting: boolean;
      readonly sentBytes: number;
      readonly residentBytes: number;
      readonly processorMilliseconds: number;
    }
  /** The requested proposals that the daemon has not applied. */
  | { readonly kind: 'remembered'; readonly missing: readonly string[] };
