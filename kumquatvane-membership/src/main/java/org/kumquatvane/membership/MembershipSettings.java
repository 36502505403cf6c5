package org.kumquatvane.membership;

import java.time.Duration;

/**
 * Times of the membership protocol.
 *
 * @param heartbeatInterval time between two heartbeats to the same VM, also the tick interval
 * @param silenceTimeout time without a message after which a link counts as down
 * @param stability time of uninterrupted reception after which a link counts as up again
 * @param promise duration of a promise of a view
 */
public record MembershipSettings(
    Duration heartbeatInterval, Duration silenceTimeout, Duration stability, Duration promise) {
  /**
   * Derives all times from the two in the settings file.
   *
   * <p>A link goes down after three missed heartbeats. With 1 % message loss, a link is expected to
   * be falsely declared down about once in 12 days, and the promise of 4 s is not much shorter than
   * the detection time.
   *
   * @param heartbeatInterval time between two heartbeats
   * @param promise duration of a promise
   * @return the settings
   */
  public static MembershipSettings of(Duration heartbeatInterval, Duration promise) {
    return new MembershipSettings(
        heartbeatInterval, heartbeatInterval.multipliedBy(3), heartbeatInterval, promise);
  }

  /**
   * Returns the default times: heartbeats every 1 s and promises of 4 s.
   *
   * @return the settings
   */
  public static MembershipSettings defaults() {
    return of(Duration.ofSeconds(1), Duration.ofSeconds(4));
  }
}
