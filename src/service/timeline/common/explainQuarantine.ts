/**
 * Explains why a call was refused as quarantined: the processes that ended under earlier calls with
 * the same content, from the log lines of the daemons that saw it.
 */
import type { TimelineEvent } from '../../../infrastructure/timeline/common/timelineEvent.js';
import { EventKind } from '../../events/common/eventKind.js';

const describeProcessEnd = ({ subject, process }: TimelineEvent): string =>
  `${subject.upstream} ended under request ${subject.request}, as ${process} saw ` +
  `(${subject.evidence}, ${subject.afterMilliseconds} ms after the run broke).`;

/** Returns the recorded process ends under calls with the same content as a refused call. */
export const describeProcessEnds = (
  events: readonly TimelineEvent[],
  { subject: { fingerprint } }: TimelineEvent,
): string[] => {
  if (fingerprint === undefined || fingerprint === null) return [];
  const ends = events.filter(
    ({ kind, subject }) =>
      kind === EventKind.ProcessEndRecorded && subject.fingerprint === fingerprint,
  );
  return ends.length === 0
    ? ['No line says which processes ended; read the logs of the other daemons too.']
    : [
        'Processes that ended under calls with this content; explain their requests next:',
        ...ends.map(describeProcessEnd),
      ];
};
