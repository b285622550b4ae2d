/**
 * Timing constants of the replicated log. They depend on each other: a voter that has received a
 * message from a leader refuses to vote for `minimumElectionTimeoutMilliseconds`. The lease is
 * shorter than that by more than the error of the clocks, so it has expired before another leader
 * can be elected.
 */

/** Largest assumed difference between the rates of two monotonic clocks, as a fraction of one. */
export const clockRateError = 0.01;

/** Interval at which the leader renews its lease with each voter. */
export const leaseRenewalIntervalMilliseconds = 250;

/** Time for which a voter refuses to vote after a message from a leader, by its own clock. */
export const minimumElectionTimeoutMilliseconds = 1_300;

/** Time for the rounds of an election, their disk syncs, and the first resent proposal. */
const electionRoundsMilliseconds = 1_000;

/** Upper bound of the random time that each voter adds to the minimum election timeout. */
export const electionTimeoutJitterMilliseconds = 700;

/**
 * Upper bound of the random delay before a voter requests votes once it knows that its leader no
 * longer leads. It equals ten rounds of an election between regions, so that voters seldom compete.
 */
export const electionJitterAfterLeadershipEndMilliseconds = 300;

/** Longest time from the loss of a leader until a proposal is accepted, if no vote is split. */
export const maximumFailoverMilliseconds =
  minimumElectionTimeoutMilliseconds +
  electionTimeoutJitterMilliseconds +
  electionRoundsMilliseconds;

/** Duration of the lease, counted from the sending of the renewals that a quorum has answered. */
export const leaseDurationMilliseconds = 1_200;

/** Longest time between the lease check and the arrival of the order at an upstream. */
export const maximumOrderTransitMilliseconds = 1_000;

/**
 * Delay before a new leader sends its first order. It covers the lease of the previous leader and
 * the transit of its last order.
 */
export const orderDelayAfterElectionMilliseconds =
  leaseDurationMilliseconds * (1 + clockRateError) + maximumOrderTransitMilliseconds;

/** Time for which configuration counts as up to date after it was last known to be so. */
export const freshnessMilliseconds = 4_000;

/** Interval at which a learner sends a request to the daemon that it follows. */
export const followIntervalMilliseconds = 500;

/** Time without an acknowledgement after which entries are sent to a learner again. */
export const resendDelayMilliseconds = followIntervalMilliseconds;

/** Time without up-to-date entries after which a learner follows another daemon. */
export const relayTimeoutMilliseconds = 1_200;

/** Time without a request after which a relay removes a learner. */
export const learnerTimeoutMilliseconds = 3_000;

/** Interval at which a proposal without an outcome is resent. */
export const proposalResendIntervalMilliseconds = 500;

/**
 * Time without an acknowledgement after which a voter that lacks entries is reported. The largest
 * entry reaches and leaves the disk of a voter within it.
 */
export const catchUpReportMilliseconds = 5_000;

/** Maximum number of entries in one message. */
export const maximumEntriesPerMessage = 256;

/** Maximum number of voters. Further daemons with the role `control` are learners that relay. */
export const maximumVoters = 5;
