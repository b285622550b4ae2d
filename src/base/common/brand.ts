/**
 * Branded identifiers: strings of one table that the type checker keeps apart from those of another.
 */

declare const brandSymbol: unique symbol;

/** A string that belongs to the table named by `Name`. */
export type Brand<Name extends string> = string & { readonly [brandSymbol]: Name };

/** Marks a plain string as an identifier; call it only where identifiers are created or decoded. */
export const asBrand = <Id extends Brand<string>>(value: string): Id => value as Id;
