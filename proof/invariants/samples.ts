/**
 * Invariants of samples: their weight versions, their staleness and their delivery exactly once.
 */
import type { Delivery } from '../../standins/virtual/virtualTrainers.js';
import type { Recording } from '../system/recording.js';
import {
  InvariantName,
  createViolationFactory,
  type Invariant,
  type Violation,
} from './invariant.js';

const createVersionsViolation = createViolationFactory(InvariantName.SampleVersions);

/** A delivered sample reports exactly the version spans that its engine generated. */
export const checkSampleVersions: Invariant = ({ deliveries, executions }) => {
  const executionByAttempt = new Map(executions.map((execution) => [execution.attempt, execution]));
  return deliveries.flatMap(({ sample, attempt, spans }) => {
    const execution = attempt === null ? undefined : executionByAttempt.get(attempt);
    if (execution === undefined)
      return [createVersionsViolation(`${sample} has no execution`, sample)];
    const hasEqualSpans = JSON.stringify(execution.spans) === JSON.stringify(spans);
    const message = `${sample} reports other version spans than ${execution.upstream} generated`;
    return hasEqualSpans ? [] : [createVersionsViolation(message, sample, attempt)];
  });
};

const createBoundViolation = createViolationFactory(InvariantName.SampleBound);

const stalenessBoundOf = ({ trainers }: Recording, { lot }: Delivery): number =>
  trainers.find((trainer) => trainer.lot === lot)?.specification.stalenessBound ?? 0;

/** No token of a delivered sample exceeds the staleness bound of its lot. */
export const checkSampleBound: Invariant = (recording) =>
  recording.deliveries.flatMap((delivery) => {
    const oldestAllowedVersion = delivery.trainerVersion - stalenessBoundOf(recording, delivery);
    const isStale = delivery.spans.some((span) => span.weightVersion < oldestAllowedVersion);
    const message = `${delivery.sample} has tokens older than weight version ${oldestAllowedVersion}`;
    return isStale ? [createBoundViolation(message, delivery.sample, delivery.attempt)] : [];
  });

const createOnceViolation = createViolationFactory(InvariantName.SampleOnce);

const groupBy = <Value>(values: readonly Value[], keyOf: (value: Value) => string) => {
  const groups = new Map<string, Value[]>();
  values.forEach((value) => {
    const key = keyOf(value);
    groups.set(key, [...(groups.get(key) ?? []), value]);
  });
  return groups;
};

const findDuplicateDeliveries = (
  deliveries: readonly Delivery[],
  keyOf: (delivery: Delivery) => string,
): Violation[] =>
  [...groupBy(deliveries, keyOf)].flatMap(([key, group]) => {
    const batches = new Set(group.map(({ lot, cursor }) => `${lot}/${cursor}`));
    const message = `${key} was delivered in ${batches.size} batches instead of one`;
    return batches.size > 1 ? [createOnceViolation(message, key)] : [];
  });

const findIncompleteLots = ({ trainers, deliveries }: Recording): Violation[] =>
  trainers.flatMap(({ lot, specification, finishedAt }) => {
    if (finishedAt === null || lot === null) return [];
    const expectedCount = specification.groupCount * specification.groupSize;
    const samples = deliveries.filter((delivery) => delivery.lot === lot);
    const deliveredCount = new Set(samples.map(({ sample }) => sample)).size;
    const message = `${lot} finished with ${deliveredCount} of ${expectedCount} samples`;
    return deliveredCount === expectedCount ? [] : [createOnceViolation(message, lot)];
  });

/** Each sample and each attempt is delivered in one batch, and a finished lot has all its samples. */
export const checkSampleOnce: Invariant = (recording) => [
  ...findDuplicateDeliveries(recording.deliveries, ({ sample }) => sample),
  ...findDuplicateDeliveries(recording.deliveries, ({ attempt, sample }) => attempt ?? sample),
  ...findIncompleteLots(recording),
];
