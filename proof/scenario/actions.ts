/**
 * The actions of scenario steps: the schema of each action, and the lookup table of handlers that apply
 * them to the system under test.
 */
import * as z from 'zod';
import { dispatchByKind, type HandlerTable } from '../../src/base/common/handlers.js';
import { putEdit, withdrawKeyEdit } from '../../standins/virtual/settingsEdits.js';
import { digestOf } from '../../standins/virtual/testDeployment.js';
import { UpstreamFaultKind } from '../../standins/virtual/virtualUpstream.js';
import { exampleKeyOf } from '../system/proofSystem.js';
import type { ScenarioRun } from './scenarioRun.js';

const millisecondsSchema = z.number().positive();

export const ActionKind = {
  /** Sends `count` requests under one name, one every `every` milliseconds. */
  Call: 'call',
  /** Closes the connections of all calls with a name. */
  Depart: 'depart',
  /** Opens a lot for a trainer. */
  Lot: 'lot',
  /** Switches all engines and trainers to a weight version. */
  Weights: 'weights',
  /** Injects a fault into one upstream, into all of a zone, or into those that run a call or lot. */
  Upstream: 'upstream',
  /** Makes every request with a name crash the upstream that runs it. */
  Poison: 'poison',
  /** Stops a daemon without a shutdown, as a crash does. */
  Stop: 'stop',
  Start: 'start',
  Freeze: 'freeze',
  Thaw: 'thaw',
  /** Disconnects a group of daemons from all others. */
  Isolate: 'isolate',
  /** Reconnects a group of daemons to all others. */
  Rejoin: 'rejoin',
  /** Shuts a daemon down gracefully. */
  Shutdown: 'shutdown',
  /** Sends an operator edit that sets a value at a path of the settings tree. */
  Edit: 'edit',
  /** Sends an operator edit that withdraws the `main` key of a workspace. */
  Withdraw: 'withdraw',
} as const;

const daemonSchema = z.strictObject({ daemon: z.string() });
const daemonsSchema = z.strictObject({ daemons: z.array(z.string()).min(1) });

const upstreamFaultSchema = z.strictObject({
  kind: z.literal(ActionKind.Upstream),
  upstream: z.string().optional(),
  zone: z.string().optional(),
  /** Name of a call or lot; selects the upstreams that run it at this time. */
  running: z.string().optional(),
  /** With `running`: selects all upstreams that run it instead of only the first. */
  all: z.boolean().default(false),
  fault: z.enum(UpstreamFaultKind),
  delay: millisecondsSchema.default(1_000),
  notice: millisecondsSchema.default(3_000),
  weightVersion: z.number().int().default(1),
});

export const actionSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal(ActionKind.Call),
    name: z.string(),
    workspace: z.string(),
    service: z.string(),
    daemon: z.string().optional(),
    key: z.string().optional(),
    count: z.number().int().positive().default(1),
    every: millisecondsSchema.default(100),
    /** Whether all calls have equal content, as if the caller resends the first. */
    isResent: z.boolean().default(false),
  }),
  z.strictObject({ kind: z.literal(ActionKind.Depart), name: z.string() }),
  z.strictObject({
    kind: z.literal(ActionKind.Lot),
    name: z.string(),
    workspace: z.string().optional(),
    daemon: z.string().optional(),
    groups: z.number().int().positive(),
    groupSize: z.number().int().positive(),
    trainerVersion: z.number().int().default(1),
    stalenessBound: z.number().int().default(1),
  }),
  z.strictObject({ kind: z.literal(ActionKind.Weights), weightVersion: z.number().int() }),
  upstreamFaultSchema,
  z.strictObject({ kind: z.literal(ActionKind.Poison), name: z.string() }),
  daemonSchema.extend({ kind: z.literal(ActionKind.Stop) }),
  daemonSchema.extend({ kind: z.literal(ActionKind.Start) }),
  daemonSchema.extend({ kind: z.literal(ActionKind.Freeze) }),
  daemonSchema.extend({ kind: z.literal(ActionKind.Thaw) }),
  daemonsSchema.extend({ kind: z.literal(ActionKind.Isolate) }),
  daemonsSchema.extend({ kind: z.literal(ActionKind.Rejoin) }),
  daemonSchema.extend({ kind: z.literal(ActionKind.Shutdown) }),
  daemonSchema.extend({
    kind: z.literal(ActionKind.Edit),
    /** Identifier of the edit; every resend carries the same one. */
    name: z.string(),
    path: z.string(),
    value: z.union([z.number(), z.string(), z.boolean()]),
    expectedRevision: z.number().int().positive(),
    /** Number of times that the edit is sent, each time as a new proposal. */
    count: z.number().int().positive().default(1),
  }),
  daemonSchema.extend({
    kind: z.literal(ActionKind.Withdraw),
    name: z.string(),
    workspace: z.string(),
  }),
]);
export type Action = z.infer<typeof actionSchema>;

const selectUpstreams = (
  run: ScenarioRun,
  action: z.infer<typeof upstreamFaultSchema>,
): readonly string[] => {
  const { upstream, zone, running, all } = action;
  if (upstream !== undefined) return [upstream];
  if (running !== undefined) {
    const upstreams = run.runningUpstreamsOf(running);
    return all ? upstreams : upstreams.slice(0, 1);
  }
  return run.system.settings.upstreams
    .filter((settings) => settings.zone === zone)
    .map((settings) => settings.name);
};

const actionHandlers: HandlerTable<Action, void, [ScenarioRun]> = {
  call: ({ name, count, every, isResent, ...call }, run) =>
    Array.from({ length: count }, (_, index) => index).forEach((index) =>
      run.system.installation.schedule(index * every, () =>
        run.addCall(
          name,
          run.system.call({ ...call, digest: isResent ? name : `${name}-${index}` }),
        ),
      ),
    ),
  depart: ({ name }, run) => run.callsOf(name).forEach(run.system.callers.depart),
  lot: ({ name, ...lot }, run) => run.addTrainer(name, run.system.openLot(lot)),
  weights: ({ weightVersion }, run) => run.system.releaseWeights(weightVersion),
  upstream: (action, run) => {
    const { fault, delay, notice, weightVersion } = action;
    selectUpstreams(run, action).forEach((target) =>
      run.system.upstreams.inject(target, { kind: fault, delay, notice, weightVersion }),
    );
  },
  poison: ({ name }, run) =>
    run.system.upstreams.poison((request) =>
      run.callsOf(name).some((call) => call.request === request),
    ),
  stop: (action, run) => run.system.stop(action.daemon),
  start: (action, run) => run.system.start(action.daemon),
  freeze: (action, run) => run.system.freeze(action.daemon),
  thaw: (action, run) => run.system.thaw(action.daemon),
  isolate: (action, run) => run.system.isolate(action.daemons),
  rejoin: (action, run) => run.system.rejoin(action.daemons),
  shutdown: (action, run) => run.system.shutDown(action.daemon),
  edit: ({ name, path, value, expectedRevision, count, ...action }, run) =>
    Array.from({ length: count }, () => putEdit(name, expectedRevision, path, value)).forEach(
      (command) => run.addEdit(name, run.system.operators.send(action.daemon, command)),
    ),
  withdraw: ({ name, workspace, ...action }, run) => {
    const command = withdrawKeyEdit(name, workspace, 'main');
    const digest = digestOf(exampleKeyOf(workspace));
    run.addEdit(name, run.system.operators.send(action.daemon, command, digest));
  },
};

/** Executes an action on the system of a run. */
export const executeAction = (action: Action, run: ScenarioRun): void =>
  dispatchByKind(actionHandlers, action, run);
