/**
 * Formats the results of the fault matrix as a Markdown page: the counts, a table of faults by flows for
 * each installation, the red cells, and the cells that are not applicable.
 */
import { InstallationName } from '../system/installations.js';
import { faults, FaultName } from './faults.js';
import { FlowName, flows } from './flows.js';
import type { CellResult, CellVerdict } from './runMatrix.js';

type VerdictKind = CellVerdict['kind'];

const verdictMarks: Readonly<Record<VerdictKind, string>> = {
  passed: '+',
  red: 'RED',
  notApplicable: 'n/a',
  notBuilt: 'not built',
};

const verdictKinds = Object.keys(verdictMarks) as VerdictKind[];

const countVerdicts = (results: readonly CellResult[], kind: VerdictKind): number =>
  results.filter(({ verdict }) => verdict.kind === kind).length;

/** Formats the number of cells with each verdict as one line. */
export const formatSummary = (results: readonly CellResult[]): string =>
  verdictKinds.map((kind) => `${countVerdicts(results, kind)} ${kind}`).join(', ');

const formatCell = (results: readonly CellResult[]): string => {
  const presentKinds = verdictKinds.filter((kind) => countVerdicts(results, kind) > 0);
  return presentKinds
    .map((kind) => (kind === 'passed' ? `${countVerdicts(results, kind)} +` : verdictMarks[kind]))
    .join(' ');
};

const formatRow = (results: readonly CellResult[], fault: FaultName): string => {
  const cells = Object.values(FlowName).map((flow) =>
    formatCell(results.filter((result) => result.fault === fault && result.flow === flow)),
  );
  return `| ${fault} | ${cells.join(' | ')} |`;
};

const formatRedCell = ({ installation, fault, flow, step, verdict }: CellResult): string => {
  const messages = verdict.kind === 'red' ? [...new Set(verdict.messages)] : [];
  return `- ${installation}, ${fault} at ${flow}/${flows[flow].steps[step]}: ${messages.join('; ')}`;
};

const formatTable = (results: readonly CellResult[]): string[] => [
  `| fault | ${Object.values(FlowName).join(' | ')} |`,
  `| --- | ${Object.values(FlowName)
    .map(() => '---')
    .join(' | ')} |`,
  ...Object.values(FaultName).map((fault) => formatRow(results, fault)),
];

const formatInapplicableReasons = (): string[] =>
  Object.values(FaultName).flatMap((fault) =>
    Object.entries(faults[fault].inapplicable).map(
      ([flow, reason]) => `- ${fault} at ${flow}: ${reason}`,
    ),
  );

/** Formats the results as a Markdown page. */
export const formatPage = (results: readonly CellResult[]): string => {
  const red = results.filter(({ verdict }) => verdict.kind === 'red');
  const lines = [
    '# Fault matrix',
    '',
    'Every fault at every step of the main flows, each cell run whole on virtual time in a system of its',
    'own and checked by all invariants. `npm run faults` writes this page. A number with + counts the steps',
    'that passed.',
    '',
    `Cells: ${formatSummary(results)}.`,
    ...Object.values(InstallationName).flatMap((name) => [
      '',
      `## ${name}`,
      '',
      ...formatTable(results.filter(({ installation }) => installation === name)),
    ]),
    '',
    '## Red cells',
    '',
    ...(red.length === 0 ? ['None.'] : red.map(formatRedCell)),
    '',
    '## Cells that are not applicable',
    '',
    ...formatInapplicableReasons(),
  ];
  return `${lines.join('\n')}\n`;
};
