/**
 * Formats the report of a failed scenario: the failed step, the related rows of every running daemon, and
 * the merged timeline.
 */
import type { AnyTable } from '../../src/infrastructure/tables/common/table.js';
import type { VirtualEvent } from '../../standins/virtual/virtualInstallation.js';
import type { ScenarioFailure } from './runScenario.js';
import type { ScenarioRun } from './scenarioRun.js';

/** A report shows only the latest events of the timeline. */
const maximumTimelineEvents = 60;

const formatEvent = ({ at, process, kind, subject }: VirtualEvent): string => {
  const fields = Object.entries(subject).map(([name, value]) => `${name}=${value}`);
  return `  ${at.toFixed(1).padStart(9)} ${process} ${kind} ${fields.join(' ')}`;
};

const containsSubject = (value: unknown, subjects: readonly string[]): boolean => {
  const text = JSON.stringify(value);
  return subjects.some((subject) => text.includes(`"${subject}"`));
};

interface RowTable extends AnyTable {
  readonly rows: () => Iterable<unknown>;
}

const hasRows = (table: AnyTable): table is RowTable => 'rows' in table;

const formatRelatedRows = ({ system }: ScenarioRun, subjects: readonly string[]): string[] =>
  system.installation.runningNames().flatMap((name) =>
    system.installation
      .daemon(name)
      .core.world.allTables.filter(hasRows)
      .flatMap((table) =>
        [...table.rows()]
          .filter((row) => containsSubject(row, subjects))
          .map((row) => `  ${name} ${table.name} ${JSON.stringify(row)}`),
      ),
  );

const formatTimeline = ({ system }: ScenarioRun, subjects: readonly string[]): string[] => {
  const events = system.installation.events();
  const relatedEvents = events.filter(
    (event) => subjects.length === 0 || containsSubject(event.subject, subjects),
  );
  return relatedEvents.slice(-maximumTimelineEvents).map(formatEvent);
};

/** Formats one failure of a run as lines of text. */
export const formatFailure = (failure: ScenarioFailure, run: ScenarioRun): string =>
  [
    failure.message,
    `step: ${failure.step === null ? 'invariant check at the end' : JSON.stringify(failure.step)}`,
    'rows:',
    ...formatRelatedRows(run, failure.subjects),
    'timeline:',
    ...formatTimeline(run, failure.subjects),
  ].join('\n');
