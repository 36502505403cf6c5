package org.kumquatvane.server.internal;

import org.apache.commons.rng.UniformRandomProvider;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.retries.BudgetedRetry;
import org.kumquatvane.retries.FixedRetry;
import org.kumquatvane.retries.NoRetry;
import org.kumquatvane.retries.RetryPolicy;
import org.kumquatvane.retries.RetryRules;
import org.kumquatvane.retries.ServiceRetryPolicy;

/** Creates the retry policies that a document can select. */
public final class RetryPolicies {
  private RetryPolicies() {}

  /**
   * Creates a policy that applies the retry mode of the document.
   *
   * @param clock clock of the deadlines
   * @param random source of the jitter
   * @param counters counts exhausted budgets
   * @return the policy
   */
  public static RetryPolicy create(Clock clock, UniformRandomProvider random, Counters counters) {
    RetryPolicy fixed = new FixedRetry(new RetryRules(clock, random));
    return new ServiceRetryPolicy(new NoRetry(), fixed, new BudgetedRetry(fixed, counters));
  }
}
