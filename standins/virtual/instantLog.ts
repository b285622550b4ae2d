/**
 * A fake of the replicated log for tests of what stands above it: the first running daemon leads, a
 * proposal of a connected daemon is committed at once, and every connected daemon applies it after a
 * latency. A daemon that is cut off applies nothing and its freshness deadline is not renewed.
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

/** How long a daemon is fresh after it has last heard from the leader. */
export const freshnessMilliseconds: Milliseconds = 3_000;
const renewalMilliseconds: Milliseconds = 500;
const commitLatency: Milliseconds = 2;

/** The fake log, shared by the daemons of one installation. */
export interface InstantLog {
  readonly port: (context: VirtualContext) => VirtualPort;
  readonly entries: () => readonly CommittedEntry[];
  readonly lead: (daemon: string) => void;
  /** Cuts a daemon off from the log, both ways. */
  readonly isolate: (daemon: string) => void;
  readonly rejoin: (daemon: string) => void;
}

interface Member {
  readonly context: VirtualContext;
  readonly takeTail: () => readonly CommittedEntry[];
}

/** Creates an empty log that `leader` leads. */
export const createInstantLog = (leader = 'd1'): InstantLog => {
  const entries: CommittedEntry[] = [];
  const members = new Map<string, Member>();
  const isolated = new Set<string>();
  let leading = leader;
  let term = 1;

  const isConnected = ({ context }: Member): boolean =>
    members.get(context.daemon.name)?.context === context && !isolated.has(context.daemon.name);

  const applyTail = (member: Member): void => {
    const { world } = member.context.daemon.core;
    if (!isConnected(member)) return;
    member.takeTail().forEach((entry) => world.committedEntries.append(entry));
    const now = member.context.now();
    world.leadership.put({
      ...noLeadership,
      id: leadershipId,
      term,
      leader: asBrand<DaemonId>(leading),
      isSelf: leading === member.context.daemon.name,
      leaseDeadline:
        leading === member.context.daemon.name
          ? deadlineAfter(now, freshnessMilliseconds)
          : Number.NEGATIVE_INFINITY,
      fencing: term,
      appliedIndex: entries.length,
      freshnessDeadline: deadlineAfter(now, freshnessMilliseconds),
    });
  };

  const distribute = (): void =>
    members.forEach((member) => member.context.schedule(commitLatency, () => applyTail(member)));

  const renew = (member: Member): void => {
    applyTail(member);
    member.context.schedule(renewalMilliseconds, () => renew(member));
  };

  const propose = (member: Member, proposal: Proposal): void => {
    if (isConnected(member)) {
      const index = entries.length + 1;
      const origin = member.context.daemon.core.world.self.name;
      entries.push({ index, term, proposal: proposal.id, origin, command: proposal.command });
      distribute();
      return;
    }
    const { world } = member.context.daemon.core;
    recordOutcome(world, proposal.id, { kind: 'unknown' }, member.context.now());
  };

  return {
    port: (context) => {
      let applied = 0;
      const takeTail = (): readonly CommittedEntry[] => {
        const tail = entries.slice(applied);
        applied = entries.length;
        return tail;
      };
      const member: Member = { context, takeTail };
      const { world } = context.daemon.core;
      world.leadership.put({ ...noLeadership, freshnessDeadline: Number.NEGATIVE_INFINITY });
      // The queue is read by the log, which is no system here.
      Object.assign(world.proposals, {
        append: (proposal: Proposal) => propose(member, proposal),
      });
      members.set(context.daemon.name, member);
      context.schedule(commitLatency, () => renew(member));
      return { drain: () => {} };
    },
    entries: () => entries,
    lead: (daemon) => {
      leading = daemon;
      term += 1;
      distribute();
    },
    isolate: (daemon) => {
      isolated.add(daemon);
    },
    rejoin: (daemon) => {
      isolated.delete(daemon);
      distribute();
    },
  };
};
