/**
 * Judges a test run by the lines of its TAP output: passes over the tests that are listed as known to be
 * red, and fails for any other red test, for a listed test that has become green, for a skipped test, and
 * for a run that did not come to its end.
 */
const resultPattern = /^(ok|not ok) \d+ - (.*)$/;
const skipPattern = /# (SKIP|TODO)/;
/** The runner writes the number of tests once all have ended. */
const planPattern = /^1\.\.(\d+)$/;

interface TestResult {
  readonly title: string;
  readonly isPassed: boolean;
  readonly isSkipped: boolean;
}

/** What a run amounts to. */
export interface TestRunVerdict {
  readonly passed: number;
  /** Entries of the page of known red tests that were red, as they are written there. */
  readonly expected: readonly string[];
  /** Why the run fails; empty where it passes. */
  readonly faults: readonly string[];
}

const readResults = (lines: readonly string[]): TestResult[] =>
  lines.flatMap((line) => {
    const match = resultPattern.exec(line);
    if (match === null) return [];
    const title = match[2]!.replace(skipPattern, '').trim();
    return [{ title, isPassed: match[1] === 'ok', isSkipped: skipPattern.test(line) }];
  });

const readKnownRed = (lines: readonly string[]): Map<string, string> =>
  new Map(
    lines
      .filter((line) => line.trim() !== '' && !line.startsWith('#'))
      .map((line) => [line.split('|')[0]!.trim(), line]),
  );

const checkCompleteness = (lines: readonly string[], results: readonly TestResult[]): string[] => {
  const plannedCount = lines.map((line) => planPattern.exec(line)?.[1]).find((count) => count);
  if (plannedCount === undefined) {
    return [`the run broke off after ${results.length} tests; see what the runner wrote`];
  }
  if (Number(plannedCount) === results.length) return [];
  return [`${results.length} of ${plannedCount} tests have a result; see what the runner wrote`];
};

/** Judges the lines of a run against those of the page of known red tests. */
export const evaluateTestRun = (
  lines: readonly string[],
  knownRedLines: readonly string[],
): TestRunVerdict => {
  const results = readResults(lines);
  const knownRed = readKnownRed(knownRedLines);
  const executedResults = results.filter((result) => !result.isSkipped);
  const failedResults = executedResults.filter((result) => !result.isPassed);
  const unexpectedFailures = failedResults.filter(({ title }) => !knownRed.has(title));
  const obsoleteTitles = [...knownRed.keys()].filter(
    (title) => !failedResults.some((result) => result.title === title),
  );
  return {
    passed: executedResults.length - failedResults.length,
    expected: failedResults.flatMap(({ title }) => knownRed.get(title) ?? []),
    faults: [
      ...unexpectedFailures.map(({ title }) => `failed: ${title}`),
      ...obsoleteTitles.map(
        (title) => `listed as red but not red: ${title}; take it out of the page`,
      ),
      ...results
        .filter(({ isSkipped }) => isSkipped)
        .map(({ title }) => `skipped, which is not allowed: ${title}`),
      ...checkCompleteness(lines, results),
    ],
  };
};
