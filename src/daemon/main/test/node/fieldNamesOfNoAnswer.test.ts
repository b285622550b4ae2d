import test from 'ava';
import { openChangingUpstream, upstreamKinds, type ChangeBytes } from './changedAnswers.js';

/** The blanks, the bytes that end lines, and control bytes. */
const badBytes = [' ', '\t', '\r', '\n', '\0', '\u0001', '\u000b', '\u001f', '\u007f'];

const badNames = badBytes.flatMap((byte) => [`${byte}x-odd`, `x-${byte}odd`, `x-odd${byte}`]);

/** Fields that decide where the body ends, and what is passed on. */
const namesWithBlank = ['content-length ', 'transfer-encoding ', 'content-type ', 'etag '];

const insertFirst = (bytes: string, line: string): string =>
  bytes.replace('\r\n', `\r\n${line}\r\n`);
const insertLast = (bytes: string, line: string): string =>
  bytes.replace('\r\n\r\n', `\r\n${line}\r\n\r\n`);

const changes: readonly ChangeBytes[] = [...badNames, ...namesWithBlank].flatMap((name) =>
  [insertFirst, insertLast].map(
    (insert): ChangeBytes =>
      (bytes) =>
        insert(bytes, `${name}: 1`),
  ),
);

const describe = (change: ChangeBytes): string => JSON.stringify(change('\r\n\r\n'));

upstreamKinds.forEach((kind) =>
  test(`an answer of an upstream (${kind}) with a blank or a control byte in the name of a field is not passed on`, async (t) => {
    const isPassedOn = await Promise.all(
      changes.map(async (change) => (await openChangingUpstream(t, kind))(change)),
    );
    const passedOn = changes.filter((_, index) => isPassedOn[index]);
    t.deepEqual(passedOn.map(describe), []);
    const askOnce = await openChangingUpstream(t, kind);
    t.true(await askOnce((bytes) => insertFirst(bytes, 'x-odd: 1')));
  }),
);
