/**
 * Named event counters of a stand-in.
 */

/** Monotonic counters. */
export interface Counters<Name extends string> {
  readonly add: (name: Name, amount?: number) => void;
  /** Returns a copy of the current values. */
  readonly read: () => Readonly<Record<Name, number>>;
}

/** Creates counters that start at zero. */
export const createCounters = <Name extends string>(names: readonly Name[]): Counters<Name> => {
  const values = Object.fromEntries(names.map((name) => [name, 0])) as Record<Name, number>;
  return {
    add: (name, amount = 1) => {
      values[name] += amount;
    },
    read: () => ({ ...values }),
  };
};
