/**
 * Schema of a list whose rows come from different writers: a row that cannot be read is left out,
 * and the others hold. A plain array schema would reject the whole message because of it.
 */
import * as z from 'zod';

/** Creates the schema of a list that keeps the rows that `rowSchema` accepts, in order. */
export const createReadableRowsSchema = <Schema extends z.ZodType>(rowSchema: Schema) =>
  z.array(z.unknown()).transform((values) =>
    values.flatMap((value): z.output<Schema>[] => {
      const row = rowSchema.safeParse(value);
      return row.success ? [row.data] : [];
    }),
  );
