/**
 * Evaluates a test run from the lines of its TAP output. Failures of tests in the list of known red tests
 * are allowed. Any other failed test, a listed test that does not fail, a skipped test and an incomplete
 * run are faults.
 */
const resultPattern = /^(ok|not ok) \d+ - (.*)$/;
const skipPattern = /# (SKIP|TODO)/;
/** The plan line, which the runner writes with the number of tests after all have ended. */
const planPattern = /^1\.\.(\d+)$/;

interface TestResult {
  readonly title: string;
  readonly isPassed: boolean;
  readonly isSkipped: boolean;
}

/** The result of the evaluation of a test run. */
export interface TestRunVerdict {
  readonly passed: number;
  /** Lines of the list of known red tests whose test failed, unchanged. */
  readonly expected: readonly string[];
  /** The reasons why the run fails; empty if it passes. */
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
    return [
      `the run stopped after ${results.length} tests without a plan line; check the output of the runner`,
    ];
  }
  if (Number(plannedCount) === results.length) return [];
  return [
    `only ${results.length} of ${plannedCount} tests have a result; check the output of the runner`,
  ];
};

/** Evaluates the lines of a TAP output against the lines of the list of known red tests. */
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
        (title) => `listed as known red, but did not fail: ${title}; remove it from the list`,
      ),
      ...results
        .filter(({ isSkipped }) => isSkipped)
        .map(({ title }) => `skipped, which is not allowed: ${title}`),
      ...checkCompleteness(lines, results),
    ],
  };
};
