package org.kumquatvane.retries;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;

/** Rules common to all retry policies: which requests may be retried, and when. */
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
   * Returns whether a retry is safe and within the attempt limit and the deadline.
   *
   * @param context state of the request after the failed attempt
   * @return false if the request must not be retried
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
   * hit the same failure do not retry simultaneously.
   *
   * @param context state of the request after the failed attempt
   * @return the time
   */
  public Deadline nextAttemptTime(RetryContext context) {
    int doublings = Math.min(MAXIMUM_DOUBLINGS, context.attemptsMade() - 1);
    long longest = context.service().retry().baseBackoff().toNanos() << doublings;
    long wait = lock.call(() -> random.nextLong(Math.max(1, longest)));
    return Deadline.after(clock, Duration.ofNanos(wait));
  }
}
