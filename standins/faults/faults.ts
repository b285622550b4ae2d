/**
 * The faults that a stand-in can be told to have. Each kind is a key of a constant object; a lookup
 * table turns a fault into the plan that the systems of the stand-in follow.
 */
import { dispatchByKind, type HandlerTable, type ValueOf } from '../../src/base/common/handlers.js';

/** Kinds of faults. */
export const FaultKind = {
  CrashBeforeFirstByte: 'crashBeforeFirstByte',
  CrashAfterTokens: 'crashAfterTokens',
  SilentAfterTokens: 'silentAfterTokens',
  NeverAnswer: 'neverAnswer',
  RefuseNotRun: 'refuseNotRun',
  AnswerLate: 'answerLate',
  NoWeightVersion: 'noWeightVersion',
  SwapWeightsAfterTokens: 'swapWeightsAfterTokens',
  LoseOrderAnswer: 'loseOrderAnswer',
} as const;
export type FaultKind = ValueOf<typeof FaultKind>;

/** A fault with its figures. Tokens are counted within one request. */
export type Fault =
  | { readonly kind: typeof FaultKind.CrashBeforeFirstByte }
  | { readonly kind: typeof FaultKind.CrashAfterTokens; readonly tokens: number }
  | { readonly kind: typeof FaultKind.SilentAfterTokens; readonly tokens: number }
  | { readonly kind: typeof FaultKind.NeverAnswer }
  | { readonly kind: typeof FaultKind.RefuseNotRun }
  | { readonly kind: typeof FaultKind.AnswerLate; readonly milliseconds: number }
  | { readonly kind: typeof FaultKind.NoWeightVersion }
  | {
      readonly kind: typeof FaultKind.SwapWeightsAfterTokens;
      readonly tokens: number;
      readonly weightVersion: number;
    }
  | { readonly kind: typeof FaultKind.LoseOrderAnswer };

/** What a request or an order with a fault does differently. */
export interface FaultPlan {
  /** Cut the connection once this many tokens were sent; never when infinite. */
  readonly cutAfterTokens: number;
  /** Send nothing more once this many tokens were sent; never when infinite. */
  readonly silentAfterTokens: number;
  /** Swap the weights once this many tokens were sent; never when infinite. */
  readonly swapAfterTokens: number;
  readonly swapToWeightVersion: number;
  readonly refuses: boolean;
  /** Milliseconds before the first token, beside the usual delay. */
  readonly lateness: number;
  readonly namesWeightVersion: boolean;
  readonly losesAnswer: boolean;
}

/** The plan of a request without a fault. */
export const defaultFaultPlan: FaultPlan = {
  cutAfterTokens: Number.POSITIVE_INFINITY,
  silentAfterTokens: Number.POSITIVE_INFINITY,
  swapAfterTokens: Number.POSITIVE_INFINITY,
  swapToWeightVersion: 0,
  refuses: false,
  lateness: 0,
  namesWeightVersion: true,
  losesAnswer: false,
};

const planHandlers: HandlerTable<Fault, Partial<FaultPlan>> = {
  crashBeforeFirstByte: () => ({ cutAfterTokens: 0 }),
  crashAfterTokens: ({ tokens }) => ({ cutAfterTokens: tokens }),
  silentAfterTokens: ({ tokens }) => ({ silentAfterTokens: tokens }),
  neverAnswer: () => ({ silentAfterTokens: 0 }),
  refuseNotRun: () => ({ refuses: true }),
  answerLate: ({ milliseconds }) => ({ lateness: milliseconds }),
  noWeightVersion: () => ({ namesWeightVersion: false }),
  swapWeightsAfterTokens: ({ tokens, weightVersion }) => ({
    swapAfterTokens: tokens,
    swapToWeightVersion: weightVersion,
  }),
  loseOrderAnswer: () => ({ losesAnswer: true }),
};

/** The plan that belongs to a fault, or to none. */
export const planOf = (fault: Fault | undefined): FaultPlan =>
  fault === undefined
    ? defaultFaultPlan
    : { ...defaultFaultPlan, ...dispatchByKind(planHandlers, fault) };
