package org.kumquatvane.platform;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * How long a call may wait for a change.
 *
 * @param after version that is known already; empty for an answer at once
 * @param longestWait longest time that the platform holds the call
 */
public record PlatformWatch(OptionalLong after, Duration longestWait) {
  /** Asks for the value as it is now. */
  public static final PlatformWatch NOW = new PlatformWatch(OptionalLong.empty(), Duration.ZERO);
}
