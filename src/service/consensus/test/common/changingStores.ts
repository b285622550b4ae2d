/**
 * Three stores, their successors at other addresses, and an entry that proposes small changes all the
 * time, for tests in which stores are lost and replaced one after the other.
 */
import { asBrand } from '../../../../base/common/brand.js';
import { createRandom, type Random } from '../../../../base/common/random.js';
import { worldOf } from '../../../../../standins/virtual/inspection.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { createControlHistory } from '../../../../../standins/virtual/controlHistory.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import type { VirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';

const storeCount = 3;
const initialStores = ['d1', 'd2', 'd3'];
const successorCount = 6;
const controlCount = storeCount + successorCount;
export const entry = `d${controlCount + 1}`;

const settleMilliseconds = 6_000;
const bandwidth = 4_000_000;
/** Small: the largest log of a run takes a fifth of `catchUpS` on a link. */
const documentBytes = 5_000;
const pollMilliseconds = 50;

export interface Situation {
  readonly installation: VirtualInstallation;
  readonly violations: () => readonly string[];
  readonly acknowledgedVersion: () => number;
  readonly random: Random;
  /** Stores of the installation, without those that were replaced. */
  readonly stores: Set<string>;
  readonly loseDisk: (name: string) => void;
  /** Starts an empty store at another address. */
  readonly addSuccessor: () => void;
  /** Runs while the entry proposes changes. */
  readonly runFor: (duration: number) => void;
}

export const pick = <Item>(random: Random, items: readonly Item[]): Item =>
  items[random.nextInteger(items.length)]!;

export const between = (random: Random, least: number, most: number): number =>
  least + random.nextInteger(most - least);

export const createSituation = (seed: number): Situation => {
  const random = createRandom(seed);
  let created: VirtualInstallation | undefined;
  const history = createControlHistory(() => created);
  const emptied = new Set<string>();
  const stores = new Set(initialStores);
  const successors = Array.from(
    { length: successorCount },
    (_, position) => `d${storeCount + 1 + position}`,
  );
  const latencies = [1, 2, 10, 30];
  const baseLatency = pick(random, latencies);
  const installation = createAnnouncedInstallation({
    daemonCount: controlCount + 1,
    controlCount,
    voterCount: storeCount,
    seed,
    initiallyStopped: successors,
    voters: (name) => (initialStores.includes(name) && !emptied.has(name) ? initialStores : []),
    latency: (from, to) => baseLatency + ((from.charCodeAt(1) * 7 + to.charCodeAt(1)) % 5),
    bandwidth,
    ports: [history.createPort],
  });
  created = installation;
  installation.runFor(settleMilliseconds);
  let version = 0;
  const changeInterval = pick(random, [80, 200, 500]);
  const propose = (): void => {
    version += 1;
    worldOf(installation, entry).proposals.append({
      id: asBrand(`declare-${version}`),
      command: {
        ...testDeclarationCommand(version),
        document: `${version} `.padEnd(documentBytes, 'x'),
      },
      proposalDeadline: installation.now() + settleMilliseconds,
    });
    installation.wake(entry);
  };
  let nextChangeAt = installation.now();
  return {
    installation,
    violations: history.violations,
    acknowledgedVersion: () =>
      Math.max(
        0,
        ...[...history.accepted()].map((id) => Number(/^declare-(\d+)$/.exec(id)?.[1]) || 0),
      ),
    random,
    stores,
    loseDisk: (name) => {
      installation.stop(name);
      installation.disk(name).clear();
      emptied.add(name);
    },
    addSuccessor: () => {
      const successor = successors.shift()!;
      stores.add(successor);
      installation.start(successor);
    },
    runFor: (duration) => {
      const end = installation.now() + duration;
      while (installation.now() < end) {
        if (nextChangeAt <= installation.now()) {
          propose();
          nextChangeAt = installation.now() + changeInterval;
        }
        installation.runFor(Math.min(pollMilliseconds, end - installation.now()));
      }
    },
  };
};
