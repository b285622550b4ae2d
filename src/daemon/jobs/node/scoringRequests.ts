/**
 * Creates the scoring requests that the daemon sends on behalf of jobs and reports the scores in
 * their responses to `scoreFacts`.
 */
import type { CallId } from '../../../service/forwarding/common/forwardingTables.js';
import { findScorerBody } from '../../../service/jobs/common/jobContents.js';
import type { World } from '../../../service/world/common/world.js';
import type { PendingCall, UpstreamResponse } from '../../forwarding/node/callPort.js';
import type { UpstreamDialect } from '../../forwarding/node/upstreamDialect.js';

/** Creates a lookup of scoring requests by call; undefined if the call is not a scoring call. */
export const createScoringRequestFinder =
  (world: World, dialect: UpstreamDialect, wake: () => void) =>
  (call: CallId): PendingCall | undefined => {
    const [run] = world.runs.where('call', call);
    const item = run === undefined ? undefined : world.jobItems.get(run.id);
    const scorer = item?.scorer;
    const body = item === undefined ? undefined : findScorerBody(world, item);
    if (!scorer || body === undefined) return undefined;

    const handleResponse = (response: UpstreamResponse): void => {
      world.scoreFacts.append({
        call,
        status: response.status,
        score: dialect.readSignature(response),
      });
      wake();
    };

    return {
      content: {
        method: 'POST',
        path: scorer.path,
        headers: { host: scorer.host },
        body,
      },
      onDidEnd: (outcome) => {
        if (outcome.kind === 'answered') handleResponse(outcome.answer);
      },
    };
  };
