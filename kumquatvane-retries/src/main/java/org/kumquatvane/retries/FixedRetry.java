package org.kumquatvane.retries;

import org.kumquatvane.core.Deadline;

/** Retries up to the attempt limit, regardless of the load. */
public final class FixedRetry implements RetryPolicy {
  private final RetryRules rules;

  /**
   * Creates the policy.
   *
   * @param rules what may be retried
   */
  public FixedRetry(RetryRules rules) {
    this.rules = rules;
  }

  @Override
  public RetryDecision decide(RetryContext context) {
    Deadline next = rules.nextAttemptTime(context);
    return rules.isAllowed(context) && next.compareTo(context.deadline()) < 0
        ? new RetryDecision.Retry(context.failure().retryReason(), next)
        : new RetryDecision.DoNotRetry();
  }
}
