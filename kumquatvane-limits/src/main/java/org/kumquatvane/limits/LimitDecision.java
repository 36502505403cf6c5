package org.kumquatvane.limits;

import java.time.Duration;

/** Whether a request is within its workspace's rate. */
public sealed interface LimitDecision {
  /** The request took a token. */
  record Admitted() implements LimitDecision {}

  /**
   * No token is left.
   *
   * @param retryAfter time after which a token is expected
   * @param explanation what decided it, for the log: rates, parts and where they come from
   */
  record RateLimited(Duration retryAfter, String explanation) implements LimitDecision {
    /**
     * Creates a decision by this VM's own bucket alone.
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
