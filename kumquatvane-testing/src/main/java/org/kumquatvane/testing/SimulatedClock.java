package org.kumquatvane.testing;

import java.time.Duration;
import org.kumquatvane.core.Clock;

/** Clock that moves only when a test advances it. */
public final class SimulatedClock implements Clock {
  private static final long START_EPOCH_MILLIS = 1_760_000_000_000L;

  private volatile long nanos;

  /**
   * Moves the clock forward.
   *
   * @param duration time to add, not negative
   */
  public void advance(Duration duration) {
    advanceTo(nanos + duration.toNanos());
  }

  /**
   * Moves the clock forward to a point in time.
   *
   * @param targetNanos point on {@link #monotonicNanos()}; ignored if it lies in the past
   */
  public void advanceTo(long targetNanos) {
    nanos = Math.max(nanos, targetNanos);
  }

  @Override
  public long monotonicNanos() {
    return nanos;
  }

  @Override
  public long epochMillis() {
    return START_EPOCH_MILLIS + nanos / 1_000_000;
  }
}
