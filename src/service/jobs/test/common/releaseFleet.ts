/**
 * Engines on virtual time that end and start again while a release rolls, some under the identifier
 * that they had. Each event of a text names the software version that made it, and an engine serves
 * for a while after a start before its registration says so.
 */
import { createRandom, type Random } from '../../../../base/common/random.js';
import type { Instant } from '../../../../base/common/time.js';
import type { FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { testEngine } from '../../../../../standins/virtual/fleetFixture.js';
import { RunState, type RunFact, type RunRow } from '../../common/jobTables.js';

const stepMilliseconds = 100;
const reportIntervalMilliseconds = 1_000;
const longestOutageMilliseconds = 1_500;
const startedAtOffset = 1;

/** One process at an address. */
interface Process {
  readonly id: string;
  readonly softwareVersion: string;
  readonly startedAt: number;
  readonly upFrom: Instant;
  readonly sequence: number;
  readonly reportAt: Instant;
}

/** An address at which one process after the other serves; null while none does. */
interface Host {
  readonly address: string;
  readonly process: Process;
  readonly isUp: boolean;
}

/** What a test sets. */
export interface ReleaseOptions {
  readonly seed: number;
  readonly hosts: number;
  /** Events of each text, by the name of its item. */
  readonly eventsOf: (item: string) => number;
  /** One in this many steps ends the process of a host. */
  readonly stepsPerCrash: number;
  /** Time from which processes that start run the new software. */
  readonly releaseAt: Instant;
}

/** The engines of a fleet. */
export interface ReleaseFleet {
  /** Advances the clock by one step. */
  readonly step: () => void;
  /** Longest time for which a run was at no engine so far, in milliseconds. */
  readonly longestWait: () => number;
}

/** Creates the engines; they register at once. */
export const createReleaseFleet = (core: FleetCore, options: ReleaseOptions): ReleaseFleet => {
  const random: Random = createRandom(options.seed);
  const connections = new Map<string, Process>();
  const waitingSince = new Map<string, Instant>();
  let longestWait = 0;
  let nextIdentifier = options.hosts + 1;

  const startProcess = (id: string, now: Instant): Process => ({
    id,
    softwareVersion: now >= options.releaseAt ? 'v2' : 'v1',
    startedAt: now + startedAtOffset,
    upFrom: now,
    sequence: 0,
    reportAt: now + random.nextInteger(reportIntervalMilliseconds),
  });

  const hosts: Host[] = Array.from({ length: options.hosts }, (_, index) => ({
    address: `127.0.0.1:${9_000 + index}`,
    process: { ...startProcess(`e${index + 1}`, core.now()), reportAt: core.now() },
    isUp: true,
  }));

  const report = ({ address, process }: Host): void => {
    const { id, softwareVersion, startedAt } = process;
    const sequence = process.sequence + 1;
    Object.assign(process, { sequence, reportAt: core.now() + reportIntervalMilliseconds });
    core.world.arrivedRegistrations.append({
      registration: testEngine(id, {
        address,
        softwareVersion,
        startedAt,
        sequence,
      }),
      isDirect: false,
    });
  };

  const replaceProcess = (host: Host): void => {
    const keepsIdentifier = random.nextInteger(2) === 0;
    const id = keepsIdentifier ? host.process.id : `e${nextIdentifier}`;
    nextIdentifier += 1;
    const upFrom = core.now() + random.nextInteger(longestOutageMilliseconds);
    Object.assign(host, { isUp: false, process: startProcess(id, upFrom) });
  };

  const stepHost = (host: Host): void => {
    const now = core.now();
    if (host.isUp && random.nextInteger(options.stepsPerCrash) === 0) replaceProcess(host);
    if (!host.isUp && host.process.upFrom <= now) Object.assign(host, { isUp: true });
    if (host.isUp && host.process.reportAt <= now) report(host);
  };

  const hostOf = (run: RunRow): Host | undefined => {
    const address = core.world.registrations.get(run.upstream!)?.address;
    return hosts.find((host) => host.address === address);
  };

  const sendFact = (run: RunRow, fact: Partial<RunFact>): void =>
    core.world.runFacts.append({ ...fact, item: run.id, start: run.start } as RunFact);

  /** Connects a run that was just sent; a host without the named engine does not run it. */
  const connect = (run: RunRow, key: string): void => {
    const host = hostOf(run);
    if (host?.isUp === true && host.process.id === String(run.upstream))
      connections.set(key, host.process);
    else sendFact(run, { kind: 'notRun', reason: 'refused' });
  };

  const generate = (run: RunRow, process: Process): void => {
    const text = [process.softwareVersion];
    const item = String(run.id).split('/')[1]!;
    const kind = run.events + 1 >= options.eventsOf(item) ? 'whole' : 'progress';
    sendFact(run, { kind, text, versions: [1] });
  };

  const stepRun = (run: RunRow): void => {
    const key = `${run.id}/${run.start}`;
    const process = connections.get(key);
    if (process === undefined) connect(run, key);
    else if (hosts.some((host) => host.isUp && host.process === process)) generate(run, process);
    else sendFact(run, { kind: 'broken', text: [], versions: [], reason: 'reset' });
  };

  const observeWaits = (): void =>
    [...core.world.runs.rows()].forEach(({ id, state }) => {
      if (state !== RunState.Waiting) {
        waitingSince.delete(id);
        return;
      }
      const since = waitingSince.get(id) ?? core.now();
      waitingSince.set(id, since);
      longestWait = Math.max(longestWait, core.now() - since);
    });

  hosts.forEach(report);
  core.settle();
  return {
    step: () => {
      core.runFor(stepMilliseconds);
      hosts.forEach(stepHost);
      core.world.runs.where('state', RunState.Running).forEach(stepRun);
      core.settle();
      observeWaits();
    },
    longestWait: () => longestWait,
  };
};
