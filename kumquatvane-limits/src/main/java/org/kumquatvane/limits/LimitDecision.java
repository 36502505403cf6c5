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
   */
  record RateLimited(Duration retryAfter) implements LimitDecision {}

  /** This VM owns no share yet and found no VM that lends a token. */
  record Unsettled() implements LimitDecision {}
}
