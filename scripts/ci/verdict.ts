/**
 * The verdict of a test run: passes over the tests that are listed as known to be red, prints them, and
 * fails for any other red test, for a listed test that has become green, and for a run without tests.
 */
import { readFileSync } from 'node:fs';

const resultPattern = /^(ok|not ok) \d+ - (.*)$/;
const skipPattern = /# (SKIP|TODO)/;

interface TestResult {
  readonly title: string;
  readonly isGreen: boolean;
  readonly isSkipped: boolean;
}

const readLines = (file: string): string[] => readFileSync(file, 'utf8').split('\n');

const readResults = (file: string): TestResult[] =>
  readLines(file).flatMap((line) => {
    const match = resultPattern.exec(line);
    if (match === null) return [];
    const title = match[2]!.replace(skipPattern, '').trim();
    return [{ title, isGreen: match[1] === 'ok', isSkipped: skipPattern.test(line) }];
  });

const readKnownRed = (file: string): Map<string, string> =>
  new Map(
    readLines(file)
      .filter((line) => line.trim() !== '' && !line.startsWith('#'))
      .map((line) => [line.split('|')[0]!.trim(), line]),
  );

const [resultFile, knownRedFile] = process.argv.slice(2);
const results = readResults(resultFile!);
const knownRed = readKnownRed(knownRedFile!);
const run = results.filter((result) => !result.isSkipped);
const passed = run.filter((result) => result.isGreen);
const red = run.filter((result) => !result.isGreen);
const expected = red.filter((result) => knownRed.has(result.title));
const failed = red.filter((result) => !knownRed.has(result.title));
const obsolete = [...knownRed.keys()].filter((title) => !red.some((each) => each.title === title));

expected.forEach((result) => console.log(`known red: ${knownRed.get(result.title)}`));
failed.forEach((result) => console.log(`failed: ${result.title}`));
obsolete.forEach((title) =>
  console.log(`listed as red but not red: ${title}; take it out of ${knownRedFile}`),
);
results
  .filter((result) => result.isSkipped)
  .forEach((result) => console.log(`skipped, which is not allowed: ${result.title}`));
const faults = failed.length + obsolete.length + (results.length - run.length);
if (faults > 0 || passed.length === 0) {
  console.log(readFileSync(resultFile!, 'utf8'));
  process.exitCode = 1;
}
console.log(`${passed.length} passed, ${faults} failed`);
