package org.kumquatvane.distribution;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * How a call to the platform waits.
 *
 * @param after version that the caller has; empty for an answer at once
 * @param longestWait how long to wait for another version
 */
public record SourceWatch(OptionalLong after, Duration longestWait) {
  /** Asks for the value as it is. */
  public static final SourceWatch NOW = new SourceWatch(OptionalLong.empty(), Duration.ZERO);
}
