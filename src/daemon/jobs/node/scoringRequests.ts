/**
 * The bytes of scoring requests, which the system makes itself, and the scores that their answers give.
 */
import type { CallId } from '../../../service/forwarding/common/forwardingTables.js';
import type { World } from '../../../service/world/common/world.js';
import type { PendingCall, UpstreamResponse } from '../../forwarding/node/callPort.js';
import type { UpstreamDialect } from '../../forwarding/node/upstreamDialect.js';

/** Creates the look-up of the bytes of scoring requests by their call. */
export const createScoreBytes =
  (world: World, dialect: UpstreamDialect, wake: () => void) =>
  (call: CallId): PendingCall | undefined => {
    const [run] = world.runs.where('call', call);
    const scorer = run === undefined ? undefined : world.jobItems.get(run.id)?.scorer;
    if (!scorer) return undefined;

    const takeAnswer = (answer: UpstreamResponse): void => {
      world.scoreFacts.append({
        call,
        status: answer.status,
        score: dialect.readSignature(answer),
      });
      wake();
    };

    return {
      content: {
        method: 'POST',
        path: scorer.path,
        headers: { host: scorer.host },
        body: scorer.body,
      },
      onDidEnd: (end) => {
        if (end.kind === 'answered') takeAnswer(end.answer);
      },
    };
  };
