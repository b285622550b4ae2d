/**
 * The times of the replicated log. They belong together: a voter that has heard of a leader refuses to
 * vote for `electionMinimumMilliseconds`, so a lease that is shorter by the error of the clocks has run
 * out before another leader can be elected.
 */

/** How far apart the rates of two monotonic clocks may be, as a share of one. */
export const clockRateError = 0.01;

/** How often the leader renews its lease with each voter. */
export const leaseRenewalIntervalMilliseconds = 250;

/** How long a voter refuses to vote after it has heard of a leader, by its own clock. */
export const minimumElectionTimeoutMilliseconds = 1_300;

/** Time for the rounds of an election, their syncs, and the first proposal that is sent again. */
const electionRoundsMilliseconds = 1_000;

/** Voters wait up to this much longer before they ask for votes, each for another time. */
export const electionTimeoutJitterMilliseconds = 700;

/**
 * Voters that know that the lease of their leader has ended wait up to this time before they ask for votes:
 * ten rounds of an election between regions, so that they seldom ask together.
 */
export const electionJitterAfterLeadershipEndMilliseconds = 300;

/** The longest time from the loss of a leader until a proposal is accepted, where no vote is split. */
export const maximumFailoverMilliseconds =
  minimumElectionTimeoutMilliseconds +
  electionTimeoutJitterMilliseconds +
  electionRoundsMilliseconds;

/** How long the leader may act after it has sent the renewals that a quorum has answered. */
export const leaseDurationMilliseconds = 1_200;

/** The longest time between the check of the lease and the arrival of the order at an upstream. */
export const maximumOrderTransitMilliseconds = 1_000;

/** How long a new leader waits before its first order. */
export const orderDelayAfterElectionMilliseconds =
  leaseDurationMilliseconds * (1 + clockRateError) + maximumOrderTransitMilliseconds;

/** How long configuration counts as not out of date after the instant for which that was known. */
export const freshnessMilliseconds = 4_000;

/** How often a learner asks the daemon that it follows. */
export const followIntervalMilliseconds = 500;

/** After this time without fresh news a learner follows another daemon. */
export const relayTimeoutMilliseconds = 1_200;

/** After this silence a relay forgets a learner. */
export const learnerTimeoutMilliseconds = 3_000;

/** How often a proposal without an outcome is sent again. */
export const proposalResendIntervalMilliseconds = 500;

/** The most entries in one message. */
export const maximumEntriesPerMessage = 256;

/** The most voters; further daemons with the role `control` follow them and relay. */
export const maximumVoters = 5;
