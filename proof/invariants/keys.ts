/**
 * Invariants of API keys: keys stay secret, and a withdrawn key is rejected within a bounded time.
 */
import { digestOf } from '../../standins/virtual/testDeployment.js';
import type { Recording } from '../system/recording.js';
import { InvariantName, createViolationFactory, type Invariant } from './invariant.js';

/** Time after its acceptance in which a configuration change reaches every reachable daemon. */
export const maximumPropagationMilliseconds = 4_000;

const createHiddenKeysViolation = createViolationFactory(InvariantName.HiddenKeys);

/** Neither the requests that upstreams receive nor the events contain a key or its digest. */
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
        createHiddenKeysViolation(`${upstream} received a key or its digest`, attempt),
      ),
    ...events
      .filter(containsKey)
      .map(({ kind }) =>
        createHiddenKeysViolation(`an event of kind ${kind} contains a key or its digest`),
      ),
  ];
};

const createKeyWithdrawalViolation = createViolationFactory(InvariantName.KeyWithdrawal);

const findWithdrawalInstant = ({ withdrawals }: Recording, digest: string | null): number =>
  withdrawals.find((withdrawal) => withdrawal.digest === digest)?.at ?? Number.POSITIVE_INFINITY;

/** A call that is sent later than the propagation bound after the withdrawal of its key never runs. */
export const checkKeyWithdrawal: Invariant = (recording) =>
  recording.calls.flatMap(({ request, decoded, sentAt }) => {
    const deadline =
      findWithdrawalInstant(recording, decoded.keyDigest) + maximumPropagationMilliseconds;
    const hasExecution = recording.executions.some((execution) => execution.request === request);
    const isViolation = hasExecution && sentAt >= deadline;
    return isViolation
      ? [
          createKeyWithdrawalViolation(
            `${request} ran although its key had been withdrawn`,
            request,
          ),
        ]
      : [];
  });
