package org.kumquatvane.distribution;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * How a call to the platform waits.
 *
 * @param after version that the caller has; empty for an answer at once
 * @param maximumWait how long to wait for another version
 */
public record WatchOptions(OptionalLong after, Duration maximumWait) {
  /** Asks for the value as it is. */
  public static final WatchOptions IMMEDIATE =
      new WatchOptions(OptionalLong.empty(), Duration.ZERO);
}
