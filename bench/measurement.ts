/**
 * The output format of all benches: one JSON object with name, value and unit for each measurement.
 */

/** One measurement of a bench. */
export interface Measurement {
  readonly name: string;
  readonly value: number;
  /** Unit of the value, such as `ms` or `ratio`. */
  readonly unit: string;
}

/** Runs a bench and returns its measurements; a bench prints nothing itself. */
export type Bench = () => Promise<readonly Measurement[]>;

const significantDigits = 5;

/** Formats a measurement as one JSON line, with the value rounded to five significant digits. */
export const formatMeasurement = ({ name, value, unit }: Measurement): string =>
  JSON.stringify({ name, value: Number(value.toPrecision(significantDigits)), unit });
