/**
 * Reading JSON bodies at the border of a stand-in.
 */

/** The value of a JSON text, or undefined where it is none. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};
