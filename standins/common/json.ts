/**
 * JSON parsing of the bodies that a stand-in receives.
 */

/** Parses a JSON text; returns undefined if it is invalid. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};
