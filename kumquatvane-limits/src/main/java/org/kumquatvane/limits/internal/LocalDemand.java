package org.kumquatvane.limits.internal;

import java.time.Duration;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.limits.DemandShare;
import org.kumquatvane.limits.TokenBucket;

/**
 * Demand of a workspace at this VM and the fraction of it that may be admitted. Guarded by the
 * limiter's lock.
 */
public final class LocalDemand {
  /** Weight of the newest interval in the smoothed demand. */
  private static final double NEWEST_INTERVAL_WEIGHT = 0.3;

  /** Smallest burst of a VM without the coordinator, for bursty requests. */
  private static final double MINIMUM_BURST_REQUESTS = 2;

  /**
   * Time for which requests are admitted before the coordinator has answered the first report of
   * them: a report interval and the transmission.
   */
  private static final Duration UNSHARED_TIME = Duration.ofMillis(400);

  private RateLimit limit;
  private long limitGeneration;
  private long arrived;
  private long admitted;
  private double arrivalsPerSecond;
  private double admittedFraction = 1;
  private @Nullable Deadline fractionValidUntil;
  private @Nullable Deadline unsharedUntil;
  private double admissionCredit = 1;
  private double fleetRate;
  private @Nullable TokenBucket fallbackBucket;

  /**
   * Creates a demand without requests.
   *
   * @param limit rate and burst of the workspace across the fleet
   * @param generation generation of the document with this limit
   */
  public LocalDemand(RateLimit limit, long generation) {
    this.limit = limit;
    limitGeneration = generation;
  }

  /**
   * Changes the limit.
   *
   * @param newLimit rate and burst of the workspace across the fleet
   * @param generation generation of the document with this limit
   */
  public void setLimit(RateLimit newLimit, long generation) {
    if (!limit.equals(newLimit)) {
      limit = newLimit;
      limitGeneration = generation;
      fallbackBucket = null;
    }
  }

  /**
   * Returns the limit.
   *
   * @return rate and burst of the workspace across the fleet
   */
  public RateLimit limit() {
    return limit;
  }

  /**
   * Applies the share computed by the coordinator, unless it was computed from an older document
   * with another limit.
   *
   * @param share the share
   * @param validUntil when the fraction expires
   */
  public void setShare(DemandShare.Share share, Deadline validUntil) {
    if (share.generation() < limitGeneration) {
      return;
    }
    admittedFraction = share.fraction();
    fractionValidUntil = validUntil;
    fleetRate = share.fleetRate();
    fallbackBucket = null;
    unsharedUntil = null;
  }

  /**
   * Decides on a request by the coordinator's fraction. Without one the coordinator may not have
   * been told of the workspace yet, which is bridged for a short time; after that its silence does
   * not mean that there is no limit.
   *
   * @param clock clock of the deadlines
   * @param evenFraction one over the number of VMs
   * @return whether it is admitted
   */
  public boolean admitByFraction(Clock clock, double evenFraction) {
    Deadline until = fractionValidUntil;
    if (until != null && !until.isReached(clock)) {
      arrived++;
      return spendCredit(admittedFraction);
    }
    Deadline bridgedUntil = unsharedUntil;
    if (bridgedUntil == null) {
      bridgedUntil = Deadline.after(clock, UNSHARED_TIME);
      unsharedUntil = bridgedUntil;
    }
    if (bridgedUntil.isReached(clock)) {
      return admitWithoutCoordinator(evenFraction, clock.monotonicNanos());
    }
    arrived++;
    return spendCredit(1);
  }

  private boolean spendCredit(double fraction) {
    admissionCredit = Math.min(1, admissionCredit + fraction);
    if (fraction < 1 && admissionCredit < 1) {
      return false;
    }
    admissionCredit -= fraction < 1 ? 1 : 0;
    admitted++;
    return true;
  }

  /**
   * Decides on a request without the coordinator: this VM uses its last fraction of the fleet's
   * demand, but at least an equal one.
   *
   * @param evenFraction one over the number of VMs
   * @param nowNanos monotonic time
   * @return whether it is admitted
   */
  public boolean admitWithoutCoordinator(double evenFraction, long nowNanos) {
    arrived++;
    TokenBucket bucket = fallbackBucket;
    if (bucket == null) {
      double fraction =
          Math.min(1, Math.max(evenFraction, fleetRate > 0 ? arrivalsPerSecond / fleetRate : 0));
      double burst = Math.max(MINIMUM_BURST_REQUESTS, limit.burstRequests() * fraction);
      bucket =
          new TokenBucket(new RateLimit(limit.requestsPerSecond() * fraction, burst), 1, nowNanos);
      bucket.add(burst, nowNanos);
      fallbackBucket = bucket;
    }
    if (!bucket.tryConsume(1, nowNanos)) {
      return false;
    }
    admitted++;
    return true;
  }

  /**
   * Describes the limit and the fraction that decide on requests, for the log.
   *
   * @return limit and demand of the fleet, and the fraction that is admitted
   */
  public String describe() {
    return String.format(
        Locale.ROOT,
        "rate=%.1f burst=%.1f generation=%d fleet_rate=%.1f fraction=%.2f",
        limit.requestsPerSecond(),
        limit.burstRequests(),
        limitGeneration,
        fleetRate,
        admittedFraction);
  }

  /**
   * Returns whether there is anything to report.
   *
   * @return whether requests arrived since the last report
   */
  public boolean hasArrivals() {
    return arrived > 0;
  }

  /**
   * Returns and resets the counted requests.
   *
   * @param seconds time since the last call
   * @return requests that arrived and that were admitted
   */
  public Counts takeCounts(double seconds) {
    Counts counts = new Counts(arrived, admitted);
    arrivalsPerSecond +=
        NEWEST_INTERVAL_WEIGHT * (arrived / Math.max(seconds, 1e-3) - arrivalsPerSecond);
    arrived = 0;
    admitted = 0;
    return counts;
  }

  /**
   * Requests of one interval.
   *
   * @param arrived requests that arrived
   * @param admitted requests that were admitted
   */
  public record Counts(long arrived, long admitted) {}
}
