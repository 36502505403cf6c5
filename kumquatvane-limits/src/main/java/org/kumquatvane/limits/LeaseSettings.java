package org.kumquatvane.limits;

import java.time.Duration;

/**
 * Times of the share and lease rules. They must be equal on all VMs of a scope, since one VM relies
 * on when another one's rights end.
 *
 * @param floorLease how long a VM without an agreed view still owns its floor
 * @param lease longest time for which a fraction is lent
 * @param renewal time between two requests for the same lease
 * @param minimumTokenHold shortest time for which a granted token may be spent
 */
public record LeaseSettings(
    Duration floorLease, Duration lease, Duration renewal, Duration minimumTokenHold) {
  /** Clocks of two VMs run apart by at most this part of a duration (design, chapter 7.1). */
  public static final double DRIFT_BOUND = 0.001;

  /**
   * Returns the values of the design.
   *
   * @return the default settings
   */
  public static LeaseSettings defaults() {
    // Three seconds lie within a renewed view's validity of up to 4 s. A token normally arrives
    // after about 3 ms; 12 ms leave room for one lease round of the collector in between.
    return new LeaseSettings(
        Duration.ofMinutes(10),
        Duration.ofSeconds(3),
        Duration.ofMillis(1200),
        Duration.ofMillis(12));
  }

  /**
   * Extends a duration that another VM measures so that it has certainly passed there.
   *
   * @param nanos nanoseconds on the other VM's clock
   * @return nanoseconds on this VM's clock
   */
  public static long extendForDrift(long nanos) {
    return (long) Math.ceil(nanos * (1 + 2 * DRIFT_BOUND));
  }

  /**
   * Shortens a duration so that another VM's clock cannot measure it past its end.
   *
   * @param nanos nanoseconds on this VM's clock
   * @return nanoseconds on the other VM's clock
   */
  public static long shortenForDrift(long nanos) {
    return (long) (nanos / (1 + 2 * DRIFT_BOUND));
  }
}
