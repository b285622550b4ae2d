/**
 * Invariants of keys: where they may be seen, and when a withdrawn one stops working.
 */
import { digestOf } from '../../standins/virtual/testDeployment.js';
import type { Recording } from '../system/recording.js';
import { InvariantName, createViolationFactory, type Invariant } from './invariant.js';

/** Within this time an accepted change is in force everywhere. */
export const maximumPropagationMilliseconds = 4_000;

const createHiddenKeysViolation = createViolationFactory(InvariantName.HiddenKeys);

/** Neither upstreams nor the time line hold a key or its digest. */
export const checkHiddenKeys: Invariant = ({ keys, executions, events }) => {
  const secrets = keys.flatMap((key) => [key, digestOf(key)]);
  const containsKey = (value: unknown): boolean => {
    const text = JSON.stringify(value);
    return secrets.some((secret) => text.includes(secret));
  };
  return [
    ...executions
      .filter(({ received }) => containsKey(received))
      .map(({ attempt, upstream }) =>
        createHiddenKeysViolation(`${upstream} was sent a key`, attempt),
      ),
    ...events
      .filter(containsKey)
      .map(({ kind }) => createHiddenKeysViolation(`an event ${kind} holds a key`)),
  ];
};

const createKeyWithdrawalViolation = createViolationFactory(InvariantName.KeyWithdrawal);

const findWithdrawalInstant = ({ withdrawals }: Recording, digest: string | null): number =>
  withdrawals.find((withdrawal) => withdrawal.digest === digest)?.at ?? Number.POSITIVE_INFINITY;

/** A call that comes later than the bound after the withdrawal of its key is not run. */
export const checkKeyWithdrawal: Invariant = (recording) =>
  recording.calls.flatMap(({ request, decoded, sentAt }) => {
    const deadline =
      findWithdrawalInstant(recording, decoded.keyDigest) + maximumPropagationMilliseconds;
    const hasExecution = recording.executions.some((execution) => execution.request === request);
    const isViolation = hasExecution && sentAt >= deadline;
    return isViolation
      ? [createKeyWithdrawalViolation(`${request} ran by a withdrawn key`, request)]
      : [];
  });
