/**
 * The contents of jobs: bodies of items and scoring requests, and texts. Those of a job with home
 * regions are not in the log, which holds their digests; its holders have them.
 */
import type { World } from '../../world/common/world.js';
import type { Content } from './contentMessages.js';
import { contentIdOf } from './contentTables.js';
import type { JobItem, ListedItem } from './jobCommands.js';
import type { JobId, JobItemRow, JobRow } from './jobTables.js';

/** Computes the identifying digest of a content; a port provides it. */
export type ComputeDigest = (bytes: Uint8Array) => string;

const emptyBody = new Uint8Array();

/** Whether the contents of a job are at holders and not in the log. */
export const hasHeldContents = ({ homeRegions }: Pick<JobRow, 'homeRegions'>): boolean =>
  homeRegions.length > 0;

/** Returns a content that this daemon holds; undefined if it does not. */
export const findHeldContent = (
  world: World,
  job: string,
  digest: string,
): Content['bytes'] | undefined => world.heldContents.get(contentIdOf(job, digest))?.bytes;

const findBody = (
  world: World,
  job: JobId,
  { body, contentDigest }: Pick<JobItem, 'body' | 'contentDigest'>,
): Content['bytes'] | undefined =>
  contentDigest === undefined ? body : findHeldContent(world, job, contentDigest);

/** Returns the body of an item; undefined if it is at holders only, and this daemon is none. */
export const findItemBody = (world: World, item: JobItemRow): Content['bytes'] | undefined =>
  findBody(world, item.job, item);

/** Returns the body of the scoring request of an item; undefined if it has none or it is not held. */
export const findScorerBody = (world: World, item: JobItemRow): Content['bytes'] | undefined =>
  item.scorer === null ? undefined : findBody(world, item.job, item.scorer);

/** Rows without their contents, and the contents. */
export interface Separated<Row> {
  readonly rows: readonly Row[];
  readonly contents: readonly Content[];
}

const createCollector = (computeDigest: ComputeDigest) => {
  const contents = new Map<string, Content['bytes']>();
  return {
    collect: (bytes: Content['bytes']): string => {
      const digest = computeDigest(bytes);
      contents.set(digest, bytes);
      return digest;
    },
    contents: (): Content[] => [...contents].map(([digest, bytes]) => ({ digest, bytes })),
  };
};

/** Replaces the bodies of items by their digests. */
export const separateItemBodies = (
  items: readonly JobItem[],
  computeDigest: ComputeDigest,
): Separated<JobItem> => {
  const { collect, contents } = createCollector(computeDigest);
  const withoutBody = <Row extends { readonly body: Content['bytes'] }>(row: Row) => ({
    ...row,
    body: emptyBody,
    contentDigest: collect(row.body),
  });
  const rows = items.map((item) => ({
    ...withoutBody(item),
    scorer: item.scorer === null ? null : withoutBody(item.scorer),
  }));
  return { rows, contents: contents() };
};

/** Replaces the texts of results by their digests; a result without text stays as it is. */
export const separateTexts = (
  results: readonly ListedItem[],
  computeDigest: ComputeDigest,
): Separated<ListedItem> => {
  const { collect, contents } = createCollector(computeDigest);
  const encoder = new TextEncoder();
  const rows = results.map((result) =>
    result.text === ''
      ? result
      : {
          ...result,
          text: '',
          heldText: {
            digest: collect(encoder.encode(result.text)),
            characters: result.text.length,
          },
        },
  );
  return { rows, contents: contents() };
};

/** Returns the text of a content; a byte order mark is part of it. */
export const decodeText = (bytes: Uint8Array): string =>
  new TextDecoder('utf-8', { ignoreBOM: true }).decode(bytes);

/** Returns the text of a listed result; undefined if it is at holders only, and this daemon is none. */
export const findResultText = (
  world: World,
  job: string,
  { text, heldText }: Pick<ListedItem, 'text' | 'heldText'>,
): string | undefined => {
  if (heldText === undefined) return text;
  const bytes = findHeldContent(world, job, heldText.digest);
  return bytes === undefined ? undefined : decodeText(bytes);
};

/** Returns the digests of the contents that the holders of a job need: of all items and results. */
export const digestsOfJob = (world: World, job: JobId): readonly string[] =>
  [
    ...world.jobItems
      .where('unlisted', job)
      .flatMap(({ contentDigest, scorer }) => [contentDigest, scorer?.contentDigest]),
    ...world.jobResults.where('job', job).map(({ heldText }) => heldText?.digest),
  ].filter((digest) => digest !== undefined);
