package org.kumquatvane.retries;

/** Never retries an attempt; the baseline that other ways are measured against. */
public final class NoRetry implements RetryPolicy {
  @Override
  public RetryDecision decide(RetryContext context) {
    return new RetryDecision.DoNotRetry();
  }
}
