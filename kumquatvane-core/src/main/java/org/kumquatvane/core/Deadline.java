package org.kumquatvane.core;

import java.time.Duration;

/**
 * A point in time on the monotonic clock.
 *
 * @param nanos the point on {@link Clock#monotonicNanos()}
 */
public record Deadline(long nanos) implements Comparable<Deadline> {
  /** Longer durations would overflow the clock's range and yield a deadline in the past. */
  private static final Duration LONGEST = Duration.ofDays(36_500);

  /**
   * Returns the deadline at the given duration from now.
   *
   * @param clock the clock that defines now
   * @param duration time from now; may be zero; durations above 100 years count as 100 years
   * @return the deadline
   */
  public static Deadline after(Clock clock, Duration duration) {
    Duration bounded = duration.compareTo(LONGEST) < 0 ? duration : LONGEST;
    return new Deadline(clock.monotonicNanos() + bounded.toNanos());
  }

  /**
   * Returns whether the deadline has been reached.
   *
   * @param clock the clock that defines now
   * @return true when no time remains
   */
  public boolean isReached(Clock clock) {
    return clock.monotonicNanos() - nanos >= 0;
  }

  /**
   * Returns the time that remains.
   *
   * @param clock the clock that defines now
   * @return nanoseconds until the deadline; negative once it has passed
   */
  public long remainingNanos(Clock clock) {
    return nanos - clock.monotonicNanos();
  }

  /**
   * Returns the earlier of two deadlines.
   *
   * @param other the other deadline
   * @return whichever is reached first
   */
  public Deadline earliest(Deadline other) {
    return compareTo(other) <= 0 ? this : other;
  }

  @Override
  public int compareTo(Deadline other) {
    // nanoTime may overflow, so deadlines are compared by their difference.
    return Long.signum(nanos - other.nanos);
  }
}
