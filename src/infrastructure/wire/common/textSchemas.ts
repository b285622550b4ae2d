/**
 * Schemas of names and texts that daemons receive and send on to each other.
 */
import * as z from 'zod';

/** Maximum length of a name in characters; names that people and programs give have some ten. */
export const maximumNameLength = 256;

/** Control characters and halves of surrogate pairs would not arrive unchanged at other daemons. */
export const textSchema = z
  .string()
  .max(maximumNameLength)
  .regex(/^[^\p{Cc}\p{Cs}]*$/u);

/** A text that is not empty. */
export const nameSchema = textSchema.min(1);
