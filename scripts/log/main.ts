/**
 * `npm run weigh-log -- FOLDER…`: prints what the data folders of stores hold by kind of entry, and how
 * much of it later entries supersede, as Markdown tables. It reads only.
 */
import { readFolder } from './readFolder.js';
import { weighByKind, type KindWeight } from './supersession.js';

const percent = 100;

const formatShare = (part: number, whole: number): string =>
  whole === 0 ? '-' : `${((part / whole) * percent).toFixed(1)}%`;

const formatRow = (kind: string, count: number, bytes: number, superseded: number, all: number) =>
  `| ${kind} | ${count} | ${bytes} | ${formatShare(bytes, all)} | ${Math.round(superseded)} | ` +
  `${formatShare(superseded, bytes)} |`;

const sumOf = (
  weights: readonly KindWeight[],
  column: 'count' | 'bytes' | 'supersededBytes',
): number => weights.reduce((sum, weight) => sum + weight[column], 0);

const describeFolder = (folder: string): string[] => {
  const { entries, others, bytes: all } = readFolder(folder);
  const weights = weighByKind(entries);
  return [
    `${folder}: ${all} bytes`,
    '',
    '| kind | count | bytes | of the folder | superseded bytes | of the kind |',
    '| --- | --- | --- | --- | --- | --- |',
    ...weights.map(({ kind, count, bytes, supersededBytes }) =>
      formatRow(kind, count, bytes, supersededBytes, all),
    ),
    formatRow(
      'all entries',
      sumOf(weights, 'count'),
      sumOf(weights, 'bytes'),
      sumOf(weights, 'supersededBytes'),
      all,
    ),
    ...others.map(({ kind, count, bytes }) => formatRow(kind, count, bytes, 0, all)),
    '',
  ];
};

const folders = process.argv.slice(2);
if (folders.length === 0) {
  console.error('no folder given; name the data folders of stores');
  process.exit(2);
}
folders.flatMap(describeFolder).forEach((line) => console.log(line));
