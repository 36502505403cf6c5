package org.kumquatvane.limits;

import org.kumquatvane.document.RateLimit;

/**
 * What the users allow a workspace beyond its rate and burst over any window. A part of it is used
 * against wrongful refusals of requests that come in clumps; the rest covers what is admitted
 * before a sudden load is known.
 *
 * @param overage allowed part beyond rate and burst
 * @param requests allowed requests in a window beyond that
 */
public record LimitSlack(double overage, double requests) {
  /** No slack: rate and burst are kept as they are. */
  public static final LimitSlack NONE = new LimitSlack(0, 0);

  /** Part of the overage that is given out as a higher rate. */
  private static final double USED_OVERAGE_FRACTION = 0.4;

  /** Part of the further requests that is given out as a larger burst. */
  private static final double USED_REQUESTS_FRACTION = 0.6;

  /**
   * Returns the limit to which a coordinator keeps.
   *
   * @param limit rate and burst of the workspace
   * @param fraction part of both that belongs to the VMs that report to the coordinator
   * @return the extended limit
   */
  RateLimit extend(RateLimit limit, double fraction) {
    return new RateLimit(
        limit.requestsPerSecond() * (1 + overage * USED_OVERAGE_FRACTION) * fraction,
        (limit.burstRequests() + requests * USED_REQUESTS_FRACTION) * fraction);
  }
}
