package org.kumquatvane.document;

/**
 * Rate and burst of a workspace: over every interval of T seconds the fleet admits at most {@code
 * requestsPerSecond * T + burstRequests}.
 *
 * @param requestsPerSecond refill rate, positive
 * @param burstRequests capacity of the token bucket in requests, at least 1
 */
public record RateLimit(double requestsPerSecond, double burstRequests) {
  /** No limit. */
  public static final RateLimit UNLIMITED =
      new RateLimit(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

  /**
   * Returns whether the workspace has no limit.
   *
   * @return true for {@link #UNLIMITED}
   */
  public boolean isUnlimited() {
    return Double.isInfinite(requestsPerSecond);
  }
}
