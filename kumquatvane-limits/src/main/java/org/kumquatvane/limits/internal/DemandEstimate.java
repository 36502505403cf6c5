package org.kumquatvane.limits.internal;

/**
 * Requests per second of one workspace at this VM, as an exponentially decaying average. Not
 * thread-safe.
 */
public final class DemandEstimate {
  /**
   * Half of the lease renewal time, so that a lender's estimate includes new demand before a
   * renewal.
   */
  private static final double TIME_CONSTANT_NANOS = 0.6e9;

  private static final double NANOS_PER_SECOND = 1e9;

  private double perSecond;
  private long updatedNanos;

  /**
   * Counts requests.
   *
   * @param count number of requests
   * @param nowNanos monotonic time
   */
  public void record(int count, long nowNanos) {
    perSecond = perSecond(nowNanos) + count * NANOS_PER_SECOND / TIME_CONSTANT_NANOS;
    updatedNanos = nowNanos;
  }

  /**
   * Returns the estimate.
   *
   * @param nowNanos monotonic time
   * @return requests per second
   */
  public double perSecond(long nowNanos) {
    return perSecond * Math.exp(-(nowNanos - updatedNanos) / TIME_CONSTANT_NANOS);
  }
}
