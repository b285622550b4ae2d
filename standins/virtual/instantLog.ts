/**
 * A fake replicated log for tests of the layers above it. A proposal of a connected daemon is
 * committed immediately, and every connected daemon applies it after a latency. An isolated daemon
 * applies nothing and its freshness deadline is not renewed.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { deadlineAfter, type Milliseconds } from '../../src/base/common/time.js';
import {
  leadershipId,
  noLeadership,
  recordOutcome,
  type CommittedEntry,
  type Proposal,
} from '../../src/service/consensus/common/consensusTables.js';
import type { DaemonId } from '../../src/service/world/common/identifiers.js';
import type { VirtualContext, VirtualPort } from './virtualInstallation.js';

/** A daemon is fresh for this time after its last contact with the log. */
export const freshnessMilliseconds: Milliseconds = 3_000;
const applyIntervalMilliseconds: Milliseconds = 500;
const commitLatencyMilliseconds: Milliseconds = 2;

/** The fake log, shared by the daemons of one installation. */
export interface InstantLog {
  readonly createPort: (context: VirtualContext) => VirtualPort;
  readonly entries: () => readonly CommittedEntry[];
  readonly setLeader: (daemon: string) => void;
  /** Disconnects a daemon from the log in both directions. */
  readonly isolate: (daemon: string) => void;
  readonly rejoin: (daemon: string) => void;
}

interface LogMember {
  readonly context: VirtualContext;
  readonly takeNewEntries: () => readonly CommittedEntry[];
}

/** Creates an empty log with `leader` as the leader. */
export const createInstantLog = (leader = 'd1'): InstantLog => {
  const entries: CommittedEntry[] = [];
  const members = new Map<string, LogMember>();
  const isolated = new Set<string>();
  let leaderName = leader;
  let term = 1;

  const isConnected = ({ context }: LogMember): boolean =>
    members.get(context.daemon.name)?.context === context && !isolated.has(context.daemon.name);

  const applyNewEntries = (member: LogMember): void => {
    const { world } = member.context.daemon.core;
    if (!isConnected(member)) return;
    member.takeNewEntries().forEach((entry) => world.committedEntries.append(entry));
    const now = member.context.now();
    world.leadership.put({
      ...noLeadership,
      id: leadershipId,
      term,
      leader: asBrand<DaemonId>(leaderName),
      isSelf: leaderName === member.context.daemon.name,
      leaseDeadline:
        leaderName === member.context.daemon.name
          ? deadlineAfter(now, freshnessMilliseconds)
          : Number.NEGATIVE_INFINITY,
      fencing: term,
      appliedIndex: entries.length,
      freshnessDeadline: deadlineAfter(now, freshnessMilliseconds),
    });
  };

  const distributeEntries = (): void =>
    members.forEach((member) =>
      member.context.schedule(commitLatencyMilliseconds, () => applyNewEntries(member)),
    );

  const applyPeriodically = (member: LogMember): void => {
    applyNewEntries(member);
    member.context.schedule(applyIntervalMilliseconds, () => applyPeriodically(member));
  };

  const propose = (member: LogMember, proposal: Proposal): void => {
    if (isConnected(member)) {
      const index = entries.length + 1;
      const origin = member.context.daemon.core.world.self.name;
      entries.push({ index, term, proposal: proposal.id, origin, command: proposal.command });
      distributeEntries();
      return;
    }
    const { world } = member.context.daemon.core;
    recordOutcome(world, proposal.id, { kind: 'unknown' }, member.context.now());
  };

  return {
    createPort: (context) => {
      let appliedCount = 0;
      const takeNewEntries = (): readonly CommittedEntry[] => {
        const newEntries = entries.slice(appliedCount);
        appliedCount = entries.length;
        return newEntries;
      };
      const member: LogMember = { context, takeNewEntries };
      const { world } = context.daemon.core;
      world.leadership.put({ ...noLeadership, freshnessDeadline: Number.NEGATIVE_INFINITY });
      // This fake log is not a system that reads the queue, so it receives proposals when they are
      // appended.
      Object.assign(world.proposals, {
        append: (proposal: Proposal) => propose(member, proposal),
      });
      members.set(context.daemon.name, member);
      context.schedule(commitLatencyMilliseconds, () => applyPeriodically(member));
      return { drain: () => {} };
    },
    entries: () => entries,
    setLeader: (daemon) => {
      leaderName = daemon;
      term += 1;
      distributeEntries();
    },
    isolate: (daemon) => {
      isolated.add(daemon);
    },
    rejoin: (daemon) => {
      isolated.delete(daemon);
      distributeEntries();
    },
  };
};
