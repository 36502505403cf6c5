package org.kumquatvane.membership;

import java.time.Duration;

/**
 * Times of the membership protocol.
 *
 * @param heartbeatInterval time between two heartbeats to the same VM, also the tick interval
 * @param silenceTimeout a link counts as broken when nothing was received for this long
 * @param stability a link counts as intact again when it was heard without a gap for this long
 * @param promise how long a promise of a view lasts
 */
public record MembershipSettings(
    Duration heartbeatInterval, Duration silenceTimeout, Duration stability, Duration promise) {
  /**
   * Derives the times from the two that the settings file holds.
   *
   * <p>Three missed heartbeats break a link: with 1 % loss a false break of a link is expected
   * about once in 12 days, and the promise of 4 s is not much shorter than the detection.
   *
   * @param heartbeatInterval time between two heartbeats
   * @param promise how long a promise lasts
   * @return the settings
   */
  public static MembershipSettings of(Duration heartbeatInterval, Duration promise) {
    return new MembershipSettings(
        heartbeatInterval, heartbeatInterval.multipliedBy(3), heartbeatInterval, promise);
  }

  /**
   * Returns the defaults of the design: 1 s and 4 s.
   *
   * @return the settings
   */
  public static MembershipSettings defaults() {
    return of(Duration.ofSeconds(1), Duration.ofSeconds(4));
  }
}
