package org.kumquatvane.distribution;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Options of a watch call to the platform.
 *
 * @param after version that the caller has; empty to return the current value immediately
 * @param maximumWait longest time to wait for another version
 */
public record WatchOptions(OptionalLong after, Duration maximumWait) {
  /** Returns the current value without waiting. */
  public static final WatchOptions IMMEDIATE =
      new WatchOptions(OptionalLong.empty(), Duration.ZERO);
}
