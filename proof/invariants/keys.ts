/**
 * Invariants of keys: where they may be seen, and when a withdrawn one stops working.
 */
import { digestOf } from '../../standins/virtual/testDeployment.js';
import type { Recording } from '../system/recording.js';
import { InvariantName, violationOf, type Invariant } from './invariant.js';

/** Within this time an accepted change is in force everywhere. */
export const changeBoundMilliseconds = 4_000;

const seen = violationOf(InvariantName.HiddenKeys);

/** Neither upstreams nor the time line hold a key or its digest. */
export const checkHiddenKeys: Invariant = ({ keys, executions, events }) => {
  const secrets = keys.flatMap((key) => [key, digestOf(key)]);
  const holdsKey = (value: unknown): boolean => {
    const text = JSON.stringify(value);
    return secrets.some((secret) => text.includes(secret));
  };
  return [
    ...executions
      .filter(({ received }) => holdsKey(received))
      .map(({ attempt, upstream }) => seen(`${upstream} was sent a key`, attempt)),
    ...events.filter(holdsKey).map(({ kind }) => seen(`an event ${kind} holds a key`)),
  ];
};

const stillWorks = violationOf(InvariantName.KeyWithdrawal);

const withdrawnFor = ({ withdrawals }: Recording, digest: string | null): number =>
  withdrawals.find((withdrawal) => withdrawal.digest === digest)?.at ?? Number.POSITIVE_INFINITY;

/** A call that comes later than the bound after the withdrawal of its key is not run. */
export const checkKeyWithdrawal: Invariant = (recording) =>
  recording.calls.flatMap(({ request, decoded, sentAt }) => {
    const deadline = withdrawnFor(recording, decoded.keyDigest) + changeBoundMilliseconds;
    const ran = recording.executions.some((execution) => execution.request === request);
    const isLate = ran && sentAt >= deadline;
    return isLate ? [stillWorks(`${request} ran by a withdrawn key`, request)] : [];
  });
