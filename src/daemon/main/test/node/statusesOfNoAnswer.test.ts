import test from 'ava';
import { openChangingUpstream, upstreamKinds, type ChangeBytes } from './changedAnswers.js';

const statusPattern = /(?<=^HTTP\/1\.1 )\d{3}/;
const answerPattern = /^HTTP\/1\.1 [^]*$/;

/** Heads whose status can be the one of no answer, by title. */
const changes: Readonly<Record<string, ChangeBytes>> = {
  'status 000': (bytes) => bytes.replace(statusPattern, '000'),
  'status 001': (bytes) => bytes.replace(statusPattern, '001'),
  'status 099': (bytes) => bytes.replace(statusPattern, '099'),
  'status 000 and no body': (bytes) =>
    `${bytes.replace(statusPattern, '000').split('\r\n\r\n', 1)[0]}\r\n\r\n`,
  'status 000 before a 200': (bytes) => bytes.replace(answerPattern, 'HTTP/1.1 000 Odd\r\n\r\n$&'),
};

upstreamKinds.forEach((kind) => {
  test(`the answer of an upstream (${kind}) is passed on`, async (t) => {
    const askOnce = await openChangingUpstream(t, kind);
    t.true(await askOnce((bytes) => bytes));
  });

  Object.entries(changes).forEach(([title, change]) =>
    test(`an answer of an upstream (${kind}) with ${title} is not passed on`, async (t) => {
      const askOnce = await openChangingUpstream(t, kind);
      t.false(await askOnce(change));
    }),
  );
});
