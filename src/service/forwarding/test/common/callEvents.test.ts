/**
 * Guards against lines on refused calls whose cause is cut off: collectors keep the start of a line.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { EventKind } from '../../../events/common/eventKind.js';
import type { CallId } from '../../common/forwardingTables.js';

/** What the record of issue 38 kept of each line. */
const keptCharacters = 200;
const longText = 'x'.repeat(keptCharacters);

test('the line of a refused call names its cause before texts of the caller', (t) => {
  const core = createFleetCore();
  core.world.events.takeAll();
  core.world.arrivedCalls.append({
    id: asBrand<CallId>(longText),
    requestId: longText,
    host: 'yard.example',
    path: '/book/slot',
    key: 'key-1',
    digest: 'digest',
    remaining: 1_000,
    isInternal: false,
    urgency: [],
    takesUp: null,
  });
  core.settle();
  core.runFor(2_000);
  const { subject } = core.world.events
    .takeAll()
    .find(({ kind }) => kind === EventKind.CallRefused)!;
  t.deepEqual(Object.keys(subject).slice(0, 3), ['refusal', 'declaration', 'freshForMilliseconds']);
  t.is(subject.request, longText);
});
