package org.kumquatvane.limits.internal;

import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.limits.TokenBucket;

/** Requests of a workspace at this VM. Guarded by the lock of the limiter. */
public final class LocalDemand {
  /** Weight of the newest interval in the smoothed demand. */
  private static final double WEIGHT = 0.3;

  /** Tokens that a VM without the coordinator may save up for requests that come in clumps. */
  private static final double SMALLEST_BURST = 2;

  private RateLimit limit;
  private long arrived;
  private long admitted;
  private double perSecond;
  private double share = 1;
  private @Nullable Deadline shareUntil;
  private double credit = 1;
  private double fleetRate;
  private @Nullable TokenBucket alone;

  /**
   * Creates an account without requests.
   *
   * @param limit rate and burst of the workspace across the fleet
   */
  public LocalDemand(RateLimit limit) {
    this.limit = limit;
  }

  /**
   * Changes the limit.
   *
   * @param changed rate and burst of the workspace across the fleet
   */
  public void setLimit(RateLimit changed) {
    if (!limit.equals(changed)) {
      limit = changed;
      alone = null;
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
   * Takes over what the coordinator has worked out.
   *
   * @param newest part of the requests that may be admitted
   * @param rate requests a second at the whole fleet
   * @param validUntil when the part no longer says anything of the demand
   */
  public void setShare(double newest, double rate, Deadline validUntil) {
    share = newest;
    shareUntil = validUntil;
    fleetRate = rate;
    alone = null;
  }

  /**
   * Decides about a request by the coordinator's fraction.
   *
   * @param clock clock of the fraction's deadline
   * @return whether it is admitted
   */
  public boolean admitByFraction(Clock clock) {
    arrived++;
    Deadline until = shareUntil;
    double fraction = until == null || until.isReached(clock) ? 1 : share;
    credit = Math.min(1, credit + fraction);
    if (fraction < 1 && credit < 1) {
      return false;
    }
    credit -= fraction < 1 ? 1 : 0;
    admitted++;
    return true;
  }

  /**
   * Decides about a request without the coordinator: this VM uses the part of the rate that it had
   * in the fleet's demand, and at least an even one.
   *
   * @param evenPart one over the number of VMs
   * @param nowNanos monotonic time
   * @return whether it is admitted
   */
  public boolean admitAlone(double evenPart, long nowNanos) {
    arrived++;
    TokenBucket bucket = alone;
    if (bucket == null) {
      double part = Math.min(1, Math.max(evenPart, fleetRate > 0 ? perSecond / fleetRate : 0));
      double burst = Math.max(SMALLEST_BURST, limit.burstRequests() * part);
      bucket = new TokenBucket(new RateLimit(limit.requestsPerSecond() * part, burst), 1, nowNanos);
      bucket.add(burst, nowNanos);
      alone = bucket;
    }
    if (!bucket.take(1, nowNanos)) {
      return false;
    }
    admitted++;
    return true;
  }

  /**
   * Describes what decides about requests, for the log.
   *
   * @return limit and demand of the fleet, and the part that is admitted
   */
  public String basis() {
    return String.format(
        Locale.ROOT,
        "rate=%.1f burst=%.1f fleet_rate=%.1f fraction=%.2f",
        limit.requestsPerSecond(),
        limit.burstRequests(),
        fleetRate,
        share);
  }

  /**
   * Tells whether there is anything to report.
   *
   * @return whether requests came since the last report or the demand has not faded yet
   */
  public boolean isActive() {
    return arrived > 0;
  }

  /**
   * Returns and resets the counted requests.
   *
   * @param seconds time since the last call
   * @return requests that arrived and that were admitted
   */
  public Counted take(double seconds) {
    Counted counted = new Counted(arrived, admitted);
    perSecond += WEIGHT * (arrived / Math.max(seconds, 1e-3) - perSecond);
    arrived = 0;
    admitted = 0;
    return counted;
  }

  /**
   * Requests of one interval.
   *
   * @param arrived requests that asked for a token
   * @param admitted requests that got one
   */
  public record Counted(long arrived, long admitted) {}
}
