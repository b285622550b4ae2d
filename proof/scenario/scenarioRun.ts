/**
 * The state of one run of a scenario: the system under test, and the calls, edits and trainers by the
 * names that the scenario gives them.
 */
import type { RequestId } from '../../src/service/world/common/identifiers.js';
import type { Call } from '../../standins/virtual/virtualCallers.js';
import type { Trainer } from '../../standins/virtual/virtualTrainers.js';
import { ExecutionState, type Execution } from '../../standins/virtual/virtualUpstream.js';
import type { SentEdit } from '../system/operators.js';
import type { ProofSystem } from '../system/proofSystem.js';

/** One run of a scenario; several calls and edits may have the same name. */
export interface ScenarioRun {
  readonly system: ProofSystem;
  readonly addCall: (name: string, call: Call) => void;
  readonly addTrainer: (name: string, trainer: Trainer) => void;
  readonly addEdit: (name: string, edit: SentEdit) => void;
  readonly editsOf: (name: string) => readonly SentEdit[];
  readonly callsOf: (name: string) => readonly Call[];
  readonly trainerOf: (name: string) => Trainer | undefined;
  /** All executions on upstreams for the calls and the lot with a name. */
  readonly executionsOf: (name: string) => readonly Execution[];
  /** Names of the upstreams that currently run a call or the lot with a name. */
  readonly runningUpstreamsOf: (name: string) => readonly string[];
}

/** Creates a run of `system` without calls, edits and trainers. */
export const createScenarioRun = (system: ProofSystem): ScenarioRun => {
  const calls = new Map<string, Call[]>();
  const edits = new Map<string, SentEdit[]>();
  const trainers = new Map<string, Trainer>();

  const requestsOfLot = (name: string): RequestId[] => {
    const trainer = trainers.get(name);
    if (trainer === undefined || trainer.lot === null) return [];
    const { lot } = trainer;
    return system.installation
      .runningNames()
      .map((daemon) => system.installation.daemon(daemon).core.world)
      .flatMap((world) => world.sampleRuns.where('lot', lot))
      .flatMap(({ request }) => request ?? []);
  };

  const executionsOf = (name: string): Execution[] => {
    const requests = new Set<string | null>([
      ...(calls.get(name) ?? []).map(({ request }) => request),
      ...requestsOfLot(name),
    ]);
    return system.upstreams.executions().filter(({ request }) => requests.has(request));
  };

  return {
    system,
    addCall: (name, call) => {
      calls.set(name, [...(calls.get(name) ?? []), call]);
    },
    addTrainer: (name, trainer) => {
      trainers.set(name, trainer);
    },
    addEdit: (name, edit) => {
      edits.set(name, [...(edits.get(name) ?? []), edit]);
    },
    editsOf: (name) => edits.get(name) ?? [],
    callsOf: (name) => calls.get(name) ?? [],
    trainerOf: (name) => trainers.get(name),
    executionsOf,
    runningUpstreamsOf: (name) => [
      ...new Set(
        executionsOf(name)
          .filter(({ state }) => state === ExecutionState.Running)
          .map(({ upstream }) => upstream),
      ),
    ],
  };
};
