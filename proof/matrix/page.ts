/**
 * Writes the fault matrix as a page: a table of faults by flows, the counts, and every cell that is red.
 */
import { InstallationName } from '../system/installations.js';
import { faults, FaultName } from './faults.js';
import { FlowName, flows } from './flows.js';
import type { CellResult, CellVerdict } from './runMatrix.js';

type VerdictKind = CellVerdict['kind'];

const marks: Readonly<Record<VerdictKind, string>> = {
  passed: '+',
  red: 'RED',
  notApplicable: 'n/a',
  notBuilt: 'not built',
};

const kinds = Object.keys(marks) as VerdictKind[];

const countOf = (results: readonly CellResult[], kind: VerdictKind): number =>
  results.filter(({ verdict }) => verdict.kind === kind).length;

/** The counts of all verdicts, in one line. */
export const summaryOf = (results: readonly CellResult[]): string =>
  kinds.map((kind) => `${countOf(results, kind)} ${kind}`).join(', ');

const cellText = (results: readonly CellResult[]): string => {
  const present = kinds.filter((kind) => countOf(results, kind) > 0);
  return present
    .map((kind) => (kind === 'passed' ? `${countOf(results, kind)} +` : marks[kind]))
    .join(' ');
};

const rowOf = (results: readonly CellResult[], fault: FaultName): string => {
  const cells = Object.values(FlowName).map((flow) =>
    cellText(results.filter((result) => result.fault === fault && result.flow === flow)),
  );
  return `| ${fault} | ${cells.join(' | ')} |`;
};

const describe = ({ installation, fault, flow, step, verdict }: CellResult): string => {
  const messages = verdict.kind === 'red' ? [...new Set(verdict.messages)] : [];
  return `- ${installation}, ${fault} at ${flow}/${flows[flow].steps[step]}: ${messages.join('; ')}`;
};

const tableOf = (results: readonly CellResult[]): string[] => [
  `| fault | ${Object.values(FlowName).join(' | ')} |`,
  `| --- | ${Object.values(FlowName)
    .map(() => '---')
    .join(' | ')} |`,
  ...Object.values(FaultName).map((fault) => rowOf(results, fault)),
];

const reasonsOf = (): string[] =>
  Object.values(FaultName).flatMap((fault) =>
    Object.entries(faults[fault].inapplicable).map(
      ([flow, reason]) => `- ${fault} at ${flow}: ${reason}`,
    ),
  );

/** The page as Markdown. */
export const formatPage = (results: readonly CellResult[]): string => {
  const red = results.filter(({ verdict }) => verdict.kind === 'red');
  const lines = [
    '# Fault matrix',
    '',
    'Every fault at every step of the main flows, each cell run whole on virtual time in a system of its',
    'own and checked by all invariants. `npm run faults` writes this page. A number with + counts the steps',
    'that passed.',
    '',
    `Cells: ${summaryOf(results)}.`,
    ...Object.values(InstallationName).flatMap((name) => [
      '',
      `## ${name}`,
      '',
      ...tableOf(results.filter(({ installation }) => installation === name)),
    ]),
    '',
    '## Red cells',
    '',
    ...(red.length === 0 ? ['None.'] : red.map(describe)),
    '',
    '## Cells that are not applicable',
    '',
    ...reasonsOf(),
  ];
  return `${lines.join('\n')}\n`;
};
