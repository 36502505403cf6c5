package org.kumquatvane.limits;

import java.time.Duration;

/** Decision whether a request is within its workspace's rate. */
public sealed interface LimitDecision {
  /** The request consumed a token. */
  record Admitted() implements LimitDecision {}

  /**
   * No token is available.
   *
   * @param retryAfter time after which a token is expected
   * @param explanation rates and fractions behind the decision, for the log
   */
  record RateLimited(Duration retryAfter, String explanation) implements LimitDecision {
    /**
     * Creates a decision based only on this VM's own bucket.
     *
     * @param retryAfter time after which a token is expected
     */
    public RateLimited(Duration retryAfter) {
      this(retryAfter, "bucket of this VM is empty");
    }
  }

  /** This VM owns no share yet and found no VM that lends a token. */
  record ShareUnsettled() implements LimitDecision {}
}
