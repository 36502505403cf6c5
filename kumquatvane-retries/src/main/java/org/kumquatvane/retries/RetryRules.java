package org.kumquatvane.retries;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;

/** Rules that hold for every retry policy: what may be retried at all, and when. */
public final class RetryRules {
  private static final int MAXIMUM_DOUBLINGS = 6;

  private final RankedLock lock = new RankedLock(LockRank.RETRIES);
  private final Clock clock;
  private final UniformRandomProvider random;

  /**
   * Creates the rules.
   *
   * @param clock clock of the deadlines
   * @param random seeded source of the jitter
   */
  public RetryRules(Clock clock, UniformRandomProvider random) {
    this.clock = clock;
    this.random = random;
  }

  /**
   * Tells whether a repeat does no harm and stays below the cap.
   *
   * @param context what is known about the failed attempt
   * @return false if the attempt must not be retried
   */
  public boolean isAllowed(RetryContext context) {
    boolean isSafe = context.idempotent() || context.failure().isKnownNotRun();
    return isSafe
        && context.bodyReplayable()
        && context.attemptsMade() < context.service().retry().maximumAttempts()
        && !context.deadline().isReached(clock);
  }

  /**
   * Returns the time of the next attempt: exponential backoff with full jitter, so that VMs that
   * saw the same failure do not return together.
   *
   * @param context what is known about the failed attempt
   * @return the time
   */
  public Deadline nextAttemptTime(RetryContext context) {
    int doublings = Math.min(MAXIMUM_DOUBLINGS, context.attemptsMade() - 1);
    long longest = context.service().retry().baseBackoff().toNanos() << doublings;
    long wait = lock.call(() -> random.nextLong(Math.max(1, longest)));
    return Deadline.after(clock, Duration.ofNanos(wait));
  }
}
