/**
 * The faults that can be injected into a stand-in. A lookup table converts each fault into a plan
 * that the systems of the stand-in follow.
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

/** A fault with its parameters. Tokens are counted per request. */
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

/** The effects of a fault on a request or an order. */
export interface FaultPlan {
  /** Cut the connection after this number of sent tokens; never if infinite. */
  readonly cutAfterTokens: number;
  /** Send nothing more after this number of sent tokens; never if infinite. */
  readonly silentAfterTokens: number;
  /** Swap the weights after this number of sent tokens; never if infinite. */
  readonly swapAfterTokens: number;
  readonly swapToWeightVersion: number;
  readonly refuses: boolean;
  /** Milliseconds before the first token, chunk or answer, in addition to the usual delay. */
  readonly lateness: number;
  readonly namesWeightVersion: boolean;
  readonly losesAnswer: boolean;
}

/** The plan of a request or an order without a fault. */
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

/** The plan of a fault, or the default plan without a fault. */
export const planOf = (fault: Fault | undefined): FaultPlan =>
  fault === undefined
    ? defaultFaultPlan
    : { ...defaultFaultPlan, ...dispatchByKind(planHandlers, fault) };
