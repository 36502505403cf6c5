package org.kumquatvane.limits;

import org.kumquatvane.document.RateLimit;

/**
 * Overage that a workspace is allowed beyond its rate and burst over any window. Part of it
 * prevents wrongful refusals of bursty requests; the rest covers requests admitted before a sudden
 * load increase is reported.
 *
 * @param overage allowed fraction beyond rate and burst
 * @param requests additional requests allowed in a window
 */
public record LimitSlack(double overage, double requests) {
  /** No slack: rate and burst are enforced exactly. */
  public static final LimitSlack NONE = new LimitSlack(0, 0);

  /** Fraction of the overage that is granted as a higher rate. */
  private static final double USED_OVERAGE_FRACTION = 0.4;

  /** Fraction of the additional requests that is granted as a larger burst. */
  private static final double USED_REQUESTS_FRACTION = 0.6;

  /**
   * Returns the limit that a coordinator enforces.
   *
   * @param limit rate and burst of the workspace
   * @param fraction fraction of both that belongs to the VMs that report to the coordinator
   * @return the extended limit
   */
  RateLimit extend(RateLimit limit, double fraction) {
    return new RateLimit(
        limit.requestsPerSecond() * (1 + overage * USED_OVERAGE_FRACTION) * fraction,
        (limit.burstRequests() + requests * USED_REQUESTS_FRACTION) * fraction);
  }
}
