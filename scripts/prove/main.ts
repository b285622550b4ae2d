/**
 * `npm run prove [-- NAME …]`: runs all proofs with real processes, or those named, and prints their
 * results. The exit code is 1 if a result does not meet its requirement, and 2 if a name is unknown.
 */
import { proveControl } from './control/proveControl.js';
import type { Proof } from './proof.js';

/** Every proof by its name. */
const proofs: Readonly<Record<string, Proof>> = {
  control: proveControl,
};

const requestedNames = process.argv.slice(2);
const names = requestedNames.length === 0 ? Object.keys(proofs) : requestedNames;
const unknownNames = names.filter((name) => !Object.hasOwn(proofs, name));
if (unknownNames.length > 0) {
  console.error(
    `unknown proof ${unknownNames.join(', ')}; use one of ${Object.keys(proofs).join(', ')}`,
  );
  process.exit(2);
}
for (const name of names) {
  const results = await proofs[name]!();
  results.forEach((result) =>
    console.log(`${result.isMet ? 'holds' : 'FAILS'} ${result.name} ${result.value}`),
  );
  if (results.some(({ isMet }) => !isMet)) process.exitCode = 1;
}
