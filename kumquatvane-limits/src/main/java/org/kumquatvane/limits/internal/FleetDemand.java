package org.kumquatvane.limits.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.VmId;
import org.kumquatvane.document.RateLimit;

/**
 * Token bucket of a workspace over the whole fleet, kept by the coordinator from the reports of all
 * VMs. Guarded by the lock of the limiter.
 */
public final class FleetDemand {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Time ahead for which a fraction is worked out: until the next reports have their effect. */
  private static final double HORIZON_SECONDS = 0.8;

  private final Clock clock;
  private final Duration reportLife;
  private final Map<VmId, PeerDemand> peers = new HashMap<>();
  private double level;
  private long updatedNanos;

  private record PeerDemand(double perSecond, Deadline validUntil) {}

  /**
   * Creates an empty bucket, since an earlier coordinator may have spent its burst just before.
   *
   * @param clock clock of the deadlines
   * @param reportLife time for which a VM's demand counts
   */
  public FleetDemand(Clock clock, Duration reportLife) {
    this.clock = clock;
    this.reportLife = reportLife;
    updatedNanos = clock.monotonicNanos();
  }

  /**
   * Takes a report into account.
   *
   * @param vm the reporting VM
   * @param arrivedPerSecond requests a second that arrived at it
   * @param admitted requests that it admitted
   * @param limit rate and burst that the reporting VMs may use together
   */
  public void report(VmId vm, double arrivedPerSecond, long admitted, RateLimit limit) {
    refill(limit);
    level -= admitted;
    peers.put(vm, new PeerDemand(arrivedPerSecond, Deadline.after(clock, reportLife)));
  }

  private void refill(RateLimit limit) {
    long now = clock.monotonicNanos();
    double refilled = (now - updatedNanos) / NANOS_PER_SECOND * limit.requestsPerSecond();
    level = Math.min(limit.burstRequests(), level + Math.max(0, refilled));
    updatedNanos = now;
  }

  /**
   * Returns the demand of the fleet.
   *
   * @return requests a second
   */
  public double perSecond() {
    peers.values().removeIf(demand -> demand.validUntil().isReached(clock));
    return peers.values().stream().mapToDouble(PeerDemand::perSecond).sum();
  }

  /**
   * Returns the part of the demand that can be admitted without overdrawing the bucket.
   *
   * @param limit rate and burst that the reporting VMs may use together
   * @return 0 to 1
   */
  public double fraction(RateLimit limit) {
    refill(limit);
    double expected = perSecond() * HORIZON_SECONDS;
    double available = Math.max(0, level + limit.requestsPerSecond() * HORIZON_SECONDS);
    return expected <= available ? 1 : available / expected;
  }
}
