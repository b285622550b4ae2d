/**
 * Invariants of samples: their weight versions, their age and their delivery.
 */
import type { Delivery } from '../../standins/virtual/virtualTrainers.js';
import type { Recording } from '../system/recording.js';
import { InvariantName, violationOf, type Invariant, type Violation } from './invariant.js';

const wrongVersions = violationOf(InvariantName.SampleVersions);

/** A delivered sample names exactly the spans that its engine made. */
export const checkSampleVersions: Invariant = ({ deliveries, executions }) => {
  const byAttempt = new Map(executions.map((execution) => [execution.attempt, execution]));
  return deliveries.flatMap(({ sample, attempt, spans }) => {
    const execution = attempt === null ? undefined : byAttempt.get(attempt);
    if (execution === undefined) return [wrongVersions(`${sample} has no execution`, sample)];
    const isTrue = JSON.stringify(execution.spans) === JSON.stringify(spans);
    const message = `${sample} names other spans than ${execution.upstream} made`;
    return isTrue ? [] : [wrongVersions(message, sample, attempt)];
  });
};

const tooOld = violationOf(InvariantName.SampleBound);

const boundOf = ({ trainers }: Recording, { lot }: Delivery): number =>
  trainers.find((trainer) => trainer.lot === lot)?.specification.stalenessBound ?? 0;

/** No token of a delivered sample is older than the bound allows. */
export const checkSampleBound: Invariant = (recording) =>
  recording.deliveries.flatMap((delivery) => {
    const oldest = delivery.trainerVersion - boundOf(recording, delivery);
    const isTooOld = delivery.spans.some((span) => span.weightVersion < oldest);
    const message = `${delivery.sample} is older than weight version ${oldest}`;
    return isTooOld ? [tooOld(message, delivery.sample, delivery.attempt)] : [];
  });

const notOnce = violationOf(InvariantName.SampleOnce);

const groupBy = <Value>(values: readonly Value[], keyOf: (value: Value) => string) => {
  const groups = new Map<string, Value[]>();
  values.forEach((value) => {
    const key = keyOf(value);
    groups.set(key, [...(groups.get(key) ?? []), value]);
  });
  return groups;
};

const deliveredTwice = (
  deliveries: readonly Delivery[],
  keyOf: (delivery: Delivery) => string,
): Violation[] =>
  [...groupBy(deliveries, keyOf)].flatMap(([key, same]) => {
    const batches = new Set(same.map(({ lot, cursor }) => `${lot}/${cursor}`));
    const message = `${key} was delivered with ${batches.size} batches`;
    return batches.size > 1 ? [notOnce(message, key)] : [];
  });

const missing = ({ trainers, deliveries }: Recording): Violation[] =>
  trainers.flatMap(({ lot, specification: wish, finishedAt }) => {
    if (finishedAt === null || lot === null) return [];
    const wanted = wish.groupCount * wish.groupSize;
    const samples = deliveries.filter((delivery) => delivery.lot === lot);
    const delivered = new Set(samples.map(({ sample }) => sample)).size;
    const message = `${lot} ended with ${delivered} of ${wanted} samples`;
    return delivered === wanted ? [] : [notOnce(message, lot)];
  });

/** A sample and its attempt go into one batch, and a lot that ends has all of its samples. */
export const checkSampleOnce: Invariant = (recording) => [
  ...deliveredTwice(recording.deliveries, ({ sample }) => sample),
  ...deliveredTwice(recording.deliveries, ({ attempt, sample }) => attempt ?? sample),
  ...missing(recording),
];
