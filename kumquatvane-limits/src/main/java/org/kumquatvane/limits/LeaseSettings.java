package org.kumquatvane.limits;

import java.time.Duration;

/**
 * Durations of shares, leases and token holds. They must be equal on all VMs of a scope, since each
 * VM relies on the times at which the rights of others end.
 *
 * @param floorLease time for which a VM keeps its floor share after it lost the agreed view
 * @param lease longest time for which a fraction is lent
 * @param renewal time between two requests for the same lease
 * @param minimumTokenHold shortest time for which a granted token may be spent
 */
public record LeaseSettings(
    Duration floorLease, Duration lease, Duration renewal, Duration minimumTokenHold) {
  /**
   * Largest clock drift between two VMs, as a fraction of a duration (docs/design.md, chapter 7.1).
   */
  public static final double DRIFT_BOUND = 0.001;

  /**
   * Returns the default durations.
   *
   * @return the default settings
   */
  public static LeaseSettings defaults() {
    // A lease of 3 s is within the validity of a renewed view, up to 4 s. A token normally
    // arrives after about 3 ms; 12 ms leave time for one lease round of the collector.
    return new LeaseSettings(
        Duration.ofMinutes(10),
        Duration.ofSeconds(3),
        Duration.ofMillis(1200),
        Duration.ofMillis(12));
  }

  /**
   * Extends a duration measured by another VM so that it has elapsed there despite clock drift.
   *
   * @param nanos nanoseconds on the other VM's clock
   * @return nanoseconds on this VM's clock
   */
  public static long extendForDrift(long nanos) {
    return (long) Math.ceil(nanos * (1 + 2 * DRIFT_BOUND));
  }

  /**
   * Shortens a duration so that it does not end too late on another VM despite clock drift.
   *
   * @param nanos nanoseconds on this VM's clock
   * @return nanoseconds on the other VM's clock
   */
  public static long shortenForDrift(long nanos) {
    return (long) (nanos / (1 + 2 * DRIFT_BOUND));
  }
}
