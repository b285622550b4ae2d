/**
 * Engines on virtual time, shared by all daemons of an installation. An engine writes the events of
 * an item at a fixed pace. One that is lost neither answers nor reports from then on, as when its
 * zone is lost; what it runs there is not ended by anybody.
 */
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import { RowReader } from '../../src/infrastructure/tables/common/rowReader.js';
import { RunState, type ItemId, type RunRow } from '../../src/service/jobs/common/jobTables.js';
import type { Registration } from '../../src/service/registry/common/registryTables.js';
import { testEngine } from './fleetFixture.js';
import type { VirtualContext, VirtualInstallation, VirtualPort } from './virtualInstallation.js';

/** The execution of an item at an engine on behalf of a daemon. */
export interface EngineExecution {
  readonly item: string;
  readonly daemon: string;
  readonly engine: string;
  readonly startedAt: Instant;
  /** Time at which the text was complete, or the daemon closed the connection or ended. */
  endedAt: Instant;
  isComplete: boolean;
}

export interface VirtualEngines {
  readonly createPort: (context: VirtualContext) => VirtualPort;
  /** Starts the reports of the engines to the control daemons with these names. */
  readonly start: (installation: VirtualInstallation, controlDaemons: readonly string[]) => void;
  /** Loses an engine: it takes and answers nothing and reports nothing. */
  readonly lose: (engine: string) => void;
  readonly executions: () => readonly EngineExecution[];
}

export interface VirtualEngineOptions {
  /** Zones of the engines `e1`, `e2`, …. */
  readonly zones: readonly string[];
  /** Number of events of each text. */
  readonly eventsPerItem: number;
  readonly slots?: number;
}

const reportIntervalMilliseconds: Milliseconds = 1_200;
const eventMilliseconds: Milliseconds = 100;
const defaultSlots = 4;

/** Creates engines of the service `planner` that hold the models `m0` and `m1` in version 1. */
export const createVirtualEngines = ({
  zones,
  eventsPerItem,
  slots = defaultSlots,
}: VirtualEngineOptions): VirtualEngines => {
  const registrations = new Map(
    zones.map((zone, index): [string, Registration] => {
      const name = `e${index + 1}`;
      return [name, testEngine(name, { zone, slots })];
    }),
  );
  const lostEngines = new Set<string>();
  const executions: EngineExecution[] = [];
  let isCurrent: (daemon: VirtualContext['daemon']) => boolean = () => true;

  const createPort = (context: VirtualContext): VirtualPort => {
    const { daemon, schedule, scheduleAlways, now } = context;
    const { world } = daemon.core;
    const changes = world.runs.createChangeReader(RowReader.Port);
    const open = new Map<ItemId, { readonly start: number; readonly execution: EngineExecution }>();

    const close = (id: ItemId): void => {
      const running = open.get(id);
      if (running === undefined) return;
      running.execution.endedAt = now();
      open.delete(id);
    };

    const isOpen = (id: ItemId, start: number): boolean => open.get(id)?.start === start;

    /** Reports the next event of a text, and the end of the text after the last one. */
    const writeEvent = (id: ItemId, start: number, engine: string, events: number): void => {
      if (!isOpen(id, start)) return;
      if (!isCurrent(daemon)) {
        close(id);
        return;
      }
      if (lostEngines.has(engine)) return;
      const isLast = events >= eventsPerItem;
      const kind = isLast ? 'whole' : 'progress';
      schedule(0, () => {
        if (!isOpen(id, start)) return;
        if (isLast) {
          open.get(id)!.execution.isComplete = true;
          close(id);
        }
        world.runFacts.append({ kind, item: id, start, text: [`event ${events}`], versions: [1] });
      });
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
      if (!isLast) scheduleEvent(id, start, engine, events + 1);
    };

    const scheduleEvent = (id: ItemId, start: number, engine: string, events: number): void =>
      scheduleAlways(eventMilliseconds, () => writeEvent(id, start, engine, events));

    const startRun = ({ id, start, upstream, events }: RunRow): void => {
      const engine = String(upstream);
      const execution = {
        item: String(id),
        daemon: daemon.name,
        engine,
        startedAt: now(),
        endedAt: Number.POSITIVE_INFINITY,
        isComplete: false,
      };
      executions.push(execution);
      open.set(id, { start, execution });
      scheduleEvent(id, start, engine, events + 1);
    };

    const handleChange = (id: ItemId): void => {
      const run = world.runs.get(id);
      const isRunning = run?.state === RunState.Running;
      if (!isRunning || !isOpen(id, run.start)) close(id);
      if (isRunning && !isOpen(id, run.start)) startRun(run);
    };

    return { drain: () => changes.take().forEach(handleChange) };
  };

  const start = (installation: VirtualInstallation, controlDaemons: readonly string[]): void => {
    isCurrent = installation.isCurrent;
    let reportCount = 1;

    const repeatReports = (registration: Registration): void => {
      if (lostEngines.has(registration.upstream)) return;
      reportCount += 1;
      const running = controlDaemons.filter((name) => installation.runningNames().includes(name));
      const to = running[reportCount % running.length]!;
      installation.daemon(to).core.world.arrivedRegistrations.append({
        registration: { ...registration, sequence: reportCount },
        isDirect: true,
      });
      installation.wake(to);
      installation.schedule(reportIntervalMilliseconds, () => repeatReports(registration));
    };

    registrations.forEach(repeatReports);
  };

  return {
    createPort,
    start,
    lose: (engine) => {
      lostEngines.add(engine);
    },
    executions: () => executions,
  };
};
