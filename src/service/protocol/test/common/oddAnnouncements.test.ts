/**
 * Announcements of another writer: one that names no upstream to use is refused, and one that is
 * accepted arrives unchanged at every other daemon.
 */
import test from 'ava';
import fc from 'fast-check';
import { createFrameDecoder, encodeFrame } from '../../../../infrastructure/wire/node/frames.js';
import { announcementSchema } from '../../common/upstreamProtocol.js';

const propertyRuns = 2_000;

const soundAnnouncement = {
  upstream: 'engine-1',
  kind: 'engine',
  service: 'model',
  address: 'http://127.0.0.1:9000',
  zone: 'z1',
  incarnation: 3,
  state: 'serving',
  models: ['model'],
  adapters: [],
  weightVersion: 4,
  reclaimable: false,
  checksFencing: true,
  resumesStreams: true,
  slots: 8,
  running: 0,
  remaining: 3_000,
};

const deeplyNested = (): unknown => JSON.parse('['.repeat(100_000) + ']'.repeat(100_000));

const oddFields: readonly (readonly [string, unknown])[] = [
  ...[
    'http://127.0.0.1:0',
    'http://127.0.0.1:99999',
    'ftp://127.0.0.1:9000',
    'file:///etc',
    'data:text/plain,x',
    'localhost:9000',
    `http://127.0.0.1:9000/${'x'.repeat(100_000)}`,
  ].map((address) => ['address', address] as const),
  ...[1e308, 2 ** 53, -1, 0.5, '3'].map((incarnation) => ['incarnation', incarnation] as const),
  ...[1e308, 2 ** 53 - 1, 0, -8, '8'].map((slots) => ['slots', slots] as const),
  ...[1e308, 2 ** 53, 0, -1, 30 * 86_400_000].map((remaining) => ['remaining', remaining] as const),
  ...['', 'x'.repeat(100_000), '\ud800', 'a\u0000', 7].flatMap((name) => [
    ['upstream', name] as const,
    ['service', name] as const,
    ['zone', name] as const,
    ['models', [name]] as const,
    ['adapters', [name]] as const,
  ]),
  ['models', Array.from({ length: 100_000 }, () => 'model')],
  ['models', deeplyNested()],
  ['state', 'gone'],
  ['extra', deeplyNested()],
];

test('a sound announcement is accepted', (t) => {
  t.true(announcementSchema.safeParse(soundAnnouncement).success);
});

oddFields.forEach(([field, value], index) =>
  test(`an announcement with an odd ${field} is refused, case ${index}`, (t) => {
    t.false(announcementSchema.safeParse({ ...soundAnnouncement, [field]: value }).success);
  }),
);

const oddValue = fc.oneof(
  fc.jsonValue(),
  fc.double(),
  fc.string({ unit: 'binary' }),
  fc.constantFrom(...Object.values(soundAnnouncement)),
);

test('every announcement that is accepted arrives unchanged at other daemons', (t) => {
  const decoder = createFrameDecoder();
  let accepted = 0;
  fc.assert(
    fc.property(fc.constantFrom(...Object.keys(soundAnnouncement)), oddValue, (field, value) => {
      const parsed = announcementSchema.safeParse({ ...soundAnnouncement, [field]: value });
      if (!parsed.success) return;
      accepted += 1;
      const [received] = decoder.push(encodeFrame(parsed.data)._unsafeUnwrap())._unsafeUnwrap();
      // As text, because CBOR makes no difference between 0 and -0.
      t.is(JSON.stringify(announcementSchema.parse(received)), JSON.stringify(parsed.data));
    }),
    { numRuns: propertyRuns, seed: 7 },
  );
  t.true(accepted > 20, `${accepted} were accepted`);
});
