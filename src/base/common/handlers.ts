/**
 * Types for constant objects, which replace enums, and for lookup tables of handlers keyed by them.
 */

/** The union of the values of a constant object. */
export type ValueOf<Constants> = Constants[keyof Constants];

/** The member of a tagged union whose `kind` is `Kind`. */
export type UnionMember<
  Union extends { readonly kind: string },
  Kind extends Union['kind'],
> = Extract<Union, { readonly kind: Kind }>;

/** One handler for each kind of a tagged union; a missing handler is a compile error. */
export type HandlerTable<
  Union extends { readonly kind: string },
  Result,
  Rest extends readonly unknown[] = [],
> = {
  readonly [Kind in Union['kind']]: (value: UnionMember<Union, Kind>, ...rest: Rest) => Result;
};

/** Calls the handler for the kind of `value` and returns its result. */
export const dispatchByKind = <
  Union extends { readonly kind: string },
  Result,
  Rest extends readonly unknown[],
>(
  handlers: HandlerTable<Union, Result, Rest>,
  value: Union,
  ...rest: Rest
): Result => {
  const handler = handlers[value.kind as Union['kind']] as (
    member: Union,
    ...others: Rest
  ) => Result;
  return handler(value, ...rest);
};
