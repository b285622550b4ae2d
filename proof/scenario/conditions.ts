/**
 * The conditions that scenario steps wait for, expect or forbid: the schema of each condition, and the
 * lookup table of handlers that evaluate them. Conditions only read the state of the run.
 */
import * as z from 'zod';
import { asBrand } from '../../src/base/common/brand.js';
import { dispatchByKind, type HandlerTable } from '../../src/base/common/handlers.js';
import { servedId } from '../../src/service/configuration/common/servedTables.js';
import { EventKind } from '../../src/service/events/common/eventKind.js';
import { DaemonState } from '../../src/service/membership/common/membershipTables.js';
import { UpstreamState } from '../../src/service/protocol/common/upstreamProtocol.js';
import { RefusalKind } from '../../src/service/traffic/common/refusal.js';
import { RequestState } from '../../src/service/traffic/common/trafficTables.js';
import type { Call } from '../../standins/virtual/virtualCallers.js';
import type { ScenarioRun } from './scenarioRun.js';

export const ConditionKind = {
  /** Calls with a name have ended with one of the listed outcomes. */
  Ended: 'ended',
  /** An upstream runs a call with the name, or a sample of the lot with the name. */
  Running: 'running',
  /** Upstreams have started at least this many executions for the calls or the lot with a name. */
  Executions: 'executions',
  /** The trainer of a lot has received all its samples. */
  LotFinished: 'lotFinished',
  /** At least this many sends of an edit have received the given answer. */
  Answered: 'answered',
  /** An edit was sent at least this many times, and all sends have received the same answer. */
  SameAnswer: 'sameAnswer',
  /** A daemon serves at least this revision of the settings. */
  Revision: 'revision',
  /** At least this many matching events of a kind were recorded. */
  Event: 'event',
  /** A daemon has another daemon in a state in its table. */
  Peer: 'peer',
  /** A daemon has an upstream in a state in its table; `gone` means that it has no row. */
  Upstream: 'upstream',
} as const;

const callOutcomeSchema = z.enum({ ...RequestState, ConnectionLost: 'connectionLost' });
const minimumCountSchema = z.number().int().positive();

export const conditionSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal(ConditionKind.Ended),
    name: z.string(),
    outcomes: z.array(callOutcomeSchema).optional(),
    reason: z.enum(RefusalKind).optional(),
    notRun: z.boolean().optional(),
    /** Minimum number of matching calls; by default, all calls with the name. */
    atLeast: minimumCountSchema.optional(),
  }),
  z.strictObject({ kind: z.literal(ConditionKind.Running), name: z.string() }),
  z.strictObject({
    kind: z.literal(ConditionKind.Executions),
    name: z.string(),
    atLeast: minimumCountSchema,
  }),
  z.strictObject({ kind: z.literal(ConditionKind.LotFinished), name: z.string() }),
  z.strictObject({
    kind: z.literal(ConditionKind.Answered),
    name: z.string(),
    /** `accepted`, or the kind of the rejection. */
    answer: z.string(),
    atLeast: minimumCountSchema.default(1),
  }),
  z.strictObject({
    kind: z.literal(ConditionKind.SameAnswer),
    name: z.string(),
    atLeast: minimumCountSchema,
  }),
  z.strictObject({
    kind: z.literal(ConditionKind.Revision),
    at: z.string(),
    revision: minimumCountSchema,
  }),
  z.strictObject({
    kind: z.literal(ConditionKind.Event),
    event: z.enum(EventKind),
    process: z.string().optional(),
    subject: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).default({}),
    atLeast: minimumCountSchema.default(1),
  }),
  z.strictObject({
    kind: z.literal(ConditionKind.Peer),
    at: z.string(),
    daemon: z.string(),
    state: z.enum(DaemonState),
  }),
  z.strictObject({
    kind: z.literal(ConditionKind.Upstream),
    at: z.string(),
    upstream: z.string(),
    state: z.enum({ ...UpstreamState, Gone: 'gone' }),
  }),
]);
export type Condition = z.infer<typeof conditionSchema>;
type EndedCondition = Extract<Condition, { kind: 'ended' }>;

const isMatchingCall = (call: Call, { outcomes, reason, notRun }: EndedCondition): boolean => {
  if (call.outcome === null) return false;
  if (outcomes !== undefined && !outcomes.includes(call.outcome)) return false;
  if (reason !== undefined && call.refusal?.kind !== reason) return false;
  return notRun === undefined || call.refusal?.notRun === notRun;
};

const conditionHandlers: HandlerTable<Condition, boolean, [ScenarioRun]> = {
  ended: (condition, run) => {
    const calls = run.callsOf(condition.name);
    const count = calls.filter((call) => isMatchingCall(call, condition)).length;
    return count >= (condition.atLeast ?? Math.max(1, calls.length));
  },
  running: ({ name }, run) => run.runningUpstreamsOf(name).length > 0,
  executions: ({ name, atLeast }, run) => run.executionsOf(name).length >= atLeast,
  lotFinished: ({ name }, run) => run.trainerOf(name)?.finishedAt != null,
  answered: ({ name, answer, atLeast }, run) =>
    run.editsOf(name).filter((edit) => edit.answer === answer).length >= atLeast,
  sameAnswer: ({ name, atLeast }, run) => {
    const edits = run.editsOf(name);
    const answers = new Set(edits.map(({ answer, revision }) => `${answer} ${revision}`));
    const isAnswered = edits.every(({ answer }) => answer !== null);
    return edits.length >= atLeast && isAnswered && answers.size === 1;
  },
  revision: ({ at, revision }, run) => {
    const { world } = run.system.installation.daemon(at).core;
    const served = world.served.get(servedId);
    return served?.isAgreed === true && served.revision >= revision;
  },
  event: ({ event, process, subject, atLeast }, run) => {
    const matchingEvents = run.system.installation
      .events()
      .filter(({ kind }) => kind === event)
      .filter((candidate) => process === undefined || candidate.process === process)
      .filter((candidate) =>
        Object.entries(subject).every(([name, value]) => candidate.subject[name] === value),
      );
    return matchingEvents.length >= atLeast;
  },
  peer: ({ at, daemon, state }, run) =>
    run.system.installation.daemon(at).core.world.daemons.get(asBrand(daemon))?.state === state,
  upstream: ({ at, upstream, state }, run) => {
    const { world } = run.system.installation.daemon(at).core;
    return (world.upstreams.get(asBrand(upstream))?.state ?? 'gone') === state;
  },
};

/** Evaluates a condition against the current state of a run. */
export const isConditionMet = (condition: Condition, run: ScenarioRun): boolean =>
  dispatchByKind(conditionHandlers, condition, run);
