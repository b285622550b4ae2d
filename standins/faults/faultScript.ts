/**
 * Fault scripts: they select which requests or orders have a fault, by number or by matching text,
 * and how often each fault applies.
 */
import { asBrand, type Brand } from '../../src/base/common/brand.js';
import type { ValueOf } from '../../src/base/common/handlers.js';
import { createTable } from '../../src/infrastructure/tables/common/table.js';
import { FaultKind, type Fault } from './faults.js';

/** One entry of a script. Without conditions it applies to the next message of its scope. */
export interface FaultScriptEntry {
  readonly fault: Fault;
  /** Number of the first request, order or report to which it applies, counted from 1. */
  readonly fromRequest?: number;
  /** Text that the prompt, the path, the order id or the usage window must contain. */
  readonly matching?: string;
  /** Maximum number of applications; 1 by default. */
  readonly times?: number;
}

/** The kind of message to which a fault applies; `Order` includes usage reports. */
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

/** A running fault script. */
export interface FaultScript {
  readonly add: (entry: FaultScriptEntry) => void;
  /** Returns and consumes the fault for the request or order with this number and text, if any. */
  readonly takeFault: (scope: FaultScope, number: number, text: string) => Fault | undefined;
}

interface ActiveEntry {
  readonly id: Brand<'faultScriptEntry'>;
  readonly scope: FaultScope;
  readonly entry: FaultScriptEntry;
  readonly remainingUses: number;
}

/** Creates a script; earlier entries take precedence over later ones. */
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
