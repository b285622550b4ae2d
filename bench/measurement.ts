/**
 * What a bench prints: one JSON object a line.
 */
export interface Measurement {
  readonly name: string;
  readonly value: number;
  /** Unit of the value, such as `ms` or `ratio`. */
  readonly unit: string;
}

/** A bench by name; it prints nothing itself. */
export type Bench = () => Promise<readonly Measurement[]>;

const significantDigits = 5;

/** A measurement as a line. */
export const formatMeasurement = ({ name, value, unit }: Measurement): string =>
  JSON.stringify({ name, value: Number(value.toPrecision(significantDigits)), unit });
