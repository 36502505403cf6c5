package org.kumquatvane.retries;

/** Never retries; baseline for comparisons with other policies. */
public final class NoRetry implements RetryPolicy {
  @Override
  public RetryDecision decide(RetryContext context) {
    return new RetryDecision.DoNotRetry();
  }
}
