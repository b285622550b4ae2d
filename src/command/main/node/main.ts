#!/usr/bin/env node
/**
 * Entry point of the executable `shallotquay`.
 */
import { runProgram } from './program.js';

process.exitCode = await runProgram(process.argv.slice(2), {
  standardInput: process.stdin,
  writeOutput: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
});
