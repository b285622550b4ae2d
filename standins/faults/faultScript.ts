/**
 * Scripts of faults: which request or order has which fault, by its number or by a part of its prompt,
 * and how often.
 */
import { asBrand, type Brand } from '../../src/base/common/brand.js';
import type { ValueOf } from '../../src/base/common/handlers.js';
import { createTable } from '../../src/infrastructure/tables/common/table.js';
import { FaultKind, type Fault } from './faults.js';

/** One line of a script. Without conditions it applies to the very next request or order. */
export interface FaultScriptEntry {
  readonly fault: Fault;
  /** Applies from this request on; the first one is 1. */
  readonly fromRequest?: number;
  /** Applies only where the prompt, the path or the id of the order contains this. */
  readonly matching?: string;
  /** How often it applies; once by default. */
  readonly times?: number;
}

/** To what a fault applies. */
export const FaultScope = { Request: 'request', Order: 'order' } as const;
export type FaultScope = ValueOf<typeof FaultScope>;

const scopeOfFault: Readonly<Record<FaultKind, FaultScope>> = {
  [FaultKind.CrashBeforeFirstByte]: FaultScope.Request,
  [FaultKind.CrashAfterTokens]: FaultScope.Request,
  [FaultKind.SilentAfterTokens]: FaultScope.Request,
  [FaultKind.NeverAnswer]: FaultScope.Request,
  [FaultKind.RefuseNotRun]: FaultScope.Request,
  [FaultKind.AnswerLate]: FaultScope.Request,
  [FaultKind.NoWeightVersion]: FaultScope.Request,
  [FaultKind.SwapWeightsAfterTokens]: FaultScope.Request,
  [FaultKind.LoseOrderAnswer]: FaultScope.Order,
};

/** A script that is being played. */
export interface FaultScript {
  readonly add: (entry: FaultScriptEntry) => void;
  /** Takes the fault of the request or order with this number and text. */
  readonly takeFault: (scope: FaultScope, number: number, text: string) => Fault | undefined;
}

interface ActiveEntry {
  readonly id: Brand<'faultScriptEntry'>;
  readonly scope: FaultScope;
  readonly entry: FaultScriptEntry;
  readonly remainingUses: number;
}

/** Creates a script; earlier entries go before later ones. */
export const createFaultScript = (entries: readonly FaultScriptEntry[]): FaultScript => {
  const activeEntries = createTable<ActiveEntry, 'scope'>({
    name: 'faultScript',
    indices: { scope: (row) => row.scope },
    deadlines: {},
  });
  let entryCount = 0;

  const add = (entry: FaultScriptEntry): void => {
    entryCount += 1;
    activeEntries.put({
      id: asBrand(String(entryCount)),
      scope: scopeOfFault[entry.fault.kind],
      entry,
      remainingUses: entry.times ?? 1,
    });
  };

  const consumeUse = (row: ActiveEntry): void => {
    const remainingUses = row.remainingUses - 1;
    if (remainingUses > 0) activeEntries.change(row.id, { remainingUses });
    else activeEntries.remove(row.id);
  };

  entries.forEach(add);
  return {
    add,
    takeFault: (scope, number, text) => {
      const matchingRow = activeEntries
        .where('scope', scope)
        .find(
          ({ entry }) => number >= (entry.fromRequest ?? 0) && text.includes(entry.matching ?? ''),
        );
      if (matchingRow !== undefined) consumeUse(matchingRow);
      return matchingRow?.entry.fault;
    },
  };
};
