/**
 * Branded identifiers: string types that prevent the identifier of one table from being used for
 * another. The brand exists only at compile time.
 */

declare const brandSymbol: unique symbol;

/** A string identifier of the table named by `Name`. */
export type Brand<Name extends string> = string & { readonly [brandSymbol]: Name };

/** Casts a plain string to an identifier; call it only where identifiers are created or decoded. */
export const asBrand = <Id extends Brand<string>>(value: string): Id => value as Id;
