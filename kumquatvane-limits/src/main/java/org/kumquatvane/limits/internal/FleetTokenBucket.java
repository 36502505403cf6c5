package org.kumquatvane.limits.internal;

import org.kumquatvane.core.Clock;
import org.kumquatvane.document.RateLimit;

/**
 * Fleet-wide token bucket of a workspace, maintained by the coordinator from the reports of all
 * VMs. Guarded by the limiter's lock.
 */
public final class FleetTokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Time for which a fraction is computed in advance: until the next reports take effect. */
  private static final double HORIZON_SECONDS = 0.8;

  /** Time over which the demand is averaged; two report intervals. */
  private static final double AVERAGING_SECONDS = 0.6;

  private final Clock clock;
  private RateLimit fleetLimit;
  private long generation;
  private double tokens;
  private double recentArrivals;
  private long updatedNanos;
  private long reportedNanos;

  /**
   * Creates an empty bucket, since an earlier coordinator may just have spent the burst.
   *
   * @param clock clock of the bucket
   * @param fleetLimit rate and burst of the workspace across the fleet
   * @param generation generation of the document with this limit
   */
  public FleetTokenBucket(Clock clock, RateLimit fleetLimit, long generation) {
    this.clock = clock;
    this.fleetLimit = fleetLimit;
    this.generation = generation;
    updatedNanos = clock.monotonicNanos();
    reportedNanos = updatedNanos;
  }

  /**
   * Changes the limit, unless the one known is of a newer document.
   *
   * @param newLimit rate and burst of the workspace across the fleet
   * @param newGeneration generation of the document with this limit
   */
  public void adoptLimit(RateLimit newLimit, long newGeneration) {
    if (newGeneration >= generation) {
      fleetLimit = newLimit;
      generation = newGeneration;
    }
  }

  /**
   * Returns the limit.
   *
   * @return rate and burst of the workspace across the fleet in the newest known document
   */
  public RateLimit fleetLimit() {
    return fleetLimit;
  }

  /**
   * Returns the generation of the document from which the limit was taken.
   *
   * @return the generation
   */
  public long generation() {
    return generation;
  }

  /**
   * Returns how long no VM has reported requests.
   *
   * @return nanoseconds since the last report
   */
  public long idleNanos() {
    return clock.monotonicNanos() - reportedNanos;
  }

  /**
   * Records a report of a VM.
   *
   * @param arrived requests that arrived at a VM since its last report
   * @param admitted requests that it admitted
   * @param limit rate and burst that the reporting VMs may use together
   */
  public void recordReport(long arrived, long admitted, RateLimit limit) {
    advance(limit);
    reportedNanos = updatedNanos;
    tokens -= limit.isUnlimited() ? 0 : admitted;
    recentArrivals += arrived;
  }

  private void advance(RateLimit limit) {
    long now = clock.monotonicNanos();
    double seconds = Math.max(0, now - updatedNanos) / NANOS_PER_SECOND;
    if (!limit.isUnlimited()) {
      // Tokens of a workspace without a limit could not be counted once it gets one.
      tokens = Math.min(limit.burstRequests(), tokens + seconds * limit.requestsPerSecond());
    }
    recentArrivals *= Math.exp(-seconds / AVERAGING_SECONDS);
    updatedNanos = now;
  }

  /**
   * Returns the demand of the fleet.
   *
   * @return requests per second
   */
  public double arrivalsPerSecond() {
    return recentArrivals / AVERAGING_SECONDS;
  }

  /**
   * Returns the fraction of the demand that can be admitted without overdrawing the bucket.
   *
   * @param limit rate and burst that the reporting VMs may use together
   * @return 0 to 1
   */
  public double admissibleFraction(RateLimit limit) {
    advance(limit);
    double expected = arrivalsPerSecond() * HORIZON_SECONDS;
    double available = Math.max(0, tokens + limit.requestsPerSecond() * HORIZON_SECONDS);
    return expected <= available ? 1 : available / expected;
  }
}
